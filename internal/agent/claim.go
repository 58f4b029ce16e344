package agent

import (
	"context"
	"encoding/json"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/order"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
)

const (
	// leaseTick is well below the gap that ends a claim.
	leaseTick = 100 * time.Millisecond

	// retryTable is the pause after a failed table request; a jitter of the
	// same size is added.
	retryTable = 250 * time.Millisecond
)

// may returns the epoch for an order sent now, and whether one may be sent.
func (a *Agent) may() (uint64, bool) {
	a.leaseMu.Lock()
	defer a.leaseMu.Unlock()
	return a.lease.May(a.cfg.Timer.Now())
}

func (a *Agent) ownerKey() string { return "Owner/" + a.cfg.Target }

func (a *Agent) readOwner(ctx context.Context) error {
	row, err := a.cfg.Table.Read(ctx, a.ownerKey())
	var owner order.Owner
	if fault.Is(err, fault.NotFound) {
		row.Version, err = 0, nil
	} else if err == nil {
		if json.Unmarshal(row.Value, &owner) != nil {
			return fault.New(fault.Malformed, "owner row does not decode")
		}
	}
	if err != nil {
		return err
	}
	a.leaseMu.Lock()
	defer a.leaseMu.Unlock()
	a.lease.Observed(row.Version, owner, a.cfg.Timer.Now())
	return nil
}

func (a *Agent) commitOwner(ctx context.Context, c order.Commit) error {
	value, err := json.Marshal(c.Owner)
	if err != nil {
		return fault.New(fault.Internal, "owner row does not encode").WithCause(err)
	}
	sent := a.cfg.Timer.Now()
	err = a.cfg.Table.Commit(ctx, plat.Txn{
		Conditions: []plat.Condition{{Key: a.ownerKey(), Version: c.Version}},
		Writes:     []plat.Write{{Key: a.ownerKey(), Value: value}},
	})
	a.leaseMu.Lock()
	defer a.leaseMu.Unlock()
	a.lease.Written(c, sent, err == nil, err == nil || fault.As(err).Outcome == fault.NotRun)
	return err
}

// release lets another agent claim the target at once. A failure only makes
// it wait for the end of the lease.
func (a *Agent) release() {
	if _, ok := a.may(); !ok {
		return
	}
	ctx, cancel := timer.WithTimeout(context.Background(), a.cfg.Timer, a.cfg.Times.Engine)
	defer cancel()
	if a.readOwner(ctx) != nil {
		return
	}
	a.leaseMu.Lock()
	c, ok := a.lease.Release()
	a.leaseMu.Unlock()
	if ok {
		_ = a.commitOwner(ctx, c)
	}
}

func (a *Agent) tickLease(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(leaseTick)
	defer cancel()
	for {
		a.leaseMu.Lock()
		a.lease.Tick(a.cfg.Timer.Now())
		a.leaseMu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
	}
}
