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
	// leaseTickInterval is far shorter than the gap between ticks that ends a
	// claim.
	leaseTickInterval = 100 * time.Millisecond

	// tableRetryDelay is the delay after a failed table request. A random
	// jitter of up to the same duration is added.
	tableRetryDelay = 250 * time.Millisecond
)

// orderEpoch returns the epoch for an order that is sent now, and whether an
// order may be sent.
func (a *Agent) orderEpoch() (uint64, bool) {
	a.leaseMu.Lock()
	defer a.leaseMu.Unlock()
	return a.lease.MaySend(a.cfg.Timer.Now())
}

func (a *Agent) ownerKey() string { return "Owner/" + a.cfg.Target }

// readOwner reads the target's owner row and passes it to the lease.
func (a *Agent) readOwner(ctx context.Context) error {
	row, err := a.cfg.Table.Read(ctx, a.ownerKey())
	var owner order.Owner
	if fault.Is(err, fault.NotFound) {
		row.Version, err = 0, nil
	} else if err == nil {
		if json.Unmarshal(row.Value, &owner) != nil {
			return fault.New(fault.Malformed, "cannot decode owner row")
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

// commitOwner writes the owner row if its version is unchanged, and passes
// the outcome to the lease.
func (a *Agent) commitOwner(ctx context.Context, c order.Commit) error {
	value, err := json.Marshal(c.Owner)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode owner row").WithCause(err)
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

// releaseClaim gives up the claim of the target, so that another agent can
// claim it at once. If it fails, the other agent has to wait until the lease
// expires.
func (a *Agent) releaseClaim() {
	if _, ok := a.orderEpoch(); !ok {
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

// tickLease ticks the lease until the context ends, so that the lease detects
// a pause of the process.
func (a *Agent) tickLease(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(leaseTickInterval)
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
