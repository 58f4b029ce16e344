package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/order"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

const (
	// leaseTick is well below the gap that ends a claim.
	leaseTick = 100 * time.Millisecond

	// retryTable is the pause after a failed table request; a jitter of the
	// same size is added.
	retryTable = 250 * time.Millisecond
)

// reconcile brings the engine to its declared state, again and again.
func (a *Agent) reconcile(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Observe)
	defer cancel()
	for {
		snapshot, version := a.cfg.Config.Get()
		if err := a.reconcileOnce(ctx, snapshot); err != nil && ctx.Err() == nil {
			_ = level.Warn(a.cfg.Logger).Log("msg", "target is not in its declared state", "target", a.cfg.Target, "err", err)
		}
		select {
		case <-ctx.Done():
			a.release()
			return nil
		case <-ticks:
		case <-a.cfg.Config.Changed(version):
		}
	}
}

func (a *Agent) reconcileOnce(ctx context.Context, snapshot store.Snapshot) error {
	state, err := a.observe(ctx)
	if err != nil {
		a.setReady(false, engine.State{})
		return err
	}
	desired, ok := order.Desire(snapshot, a.cfg.Target)
	if !ok {
		a.setReady(false, state)
		return nil
	}
	if t, ok := store.Spec[resrc.Target](snapshot, a.cfg.Target); ok {
		a.leaseMu.Lock()
		a.lease.SetChecksFencing(t.ChecksFencing)
		a.leaseMu.Unlock()
	}
	plan := a.plan(desired, state)
	if len(plan.Orders) == 0 {
		return nil
	}
	for _, o := range plan.Orders {
		if err := a.send(ctx, o); err != nil {
			return err
		}
	}
	a.release()
	if state, err = a.observe(ctx); err != nil {
		return err
	}
	a.plan(desired, state)
	return nil
}

func (a *Agent) observe(ctx context.Context) (engine.State, error) {
	ctx, cancel := timer.WithTimeout(ctx, a.cfg.Timer, a.cfg.Times.Engine)
	defer cancel()
	return a.cfg.Engine.State(ctx)
}

// plan counts the open sessions and stops admission in one step, so that no
// session is admitted that an order would break.
func (a *Agent) plan(d order.Desired, state engine.State) order.Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := order.Make(d, order.Observed{
		Version: state.Version, Layers: state.Layers, Adapters: state.Adapters, Role: state.Role, Loading: state.Loading,
	}, len(a.sessions))
	a.ready, a.held = p.Ready, state
	return p
}

func (a *Agent) setReady(ready bool, held engine.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ready, a.held = ready, held
}

// send runs one order under a claim of the target.
func (a *Agent) send(ctx context.Context, o order.Order) error {
	if err := a.reserve(ctx, o); err != nil {
		return err
	}
	if err := a.own(ctx); err != nil {
		return err
	}
	epoch, _ := a.may()
	ctx, cancel := timer.WithTimeout(ctx, a.cfg.Timer, a.cfg.Limits.Rules.LongestOrder)
	defer cancel()
	_ = level.Info(a.cfg.Logger).Log("msg", "sending order", "target", a.cfg.Target, "kind", o.Kind, "epoch", epoch)
	return a.cfg.Engine.Do(ctx, engine.Order{
		Kind: engine.OrderKind(o.Kind), Version: o.Version, Layers: o.Layers, Adapter: o.Adapter, Role: o.Role, Bytes: o.Bytes, Fence: epoch,
	}, func() error {
		if now, ok := a.may(); !ok || now != epoch {
			return fault.New(fault.Conflict, "the claim of the target has ended")
		}
		return nil
	})
}

func (a *Agent) may() (uint64, bool) {
	a.leaseMu.Lock()
	defer a.leaseMu.Unlock()
	return a.lease.May(a.cfg.Timer.Now())
}

// reserve waits for a turn at the weight store.
func (a *Agent) reserve(ctx context.Context, o order.Order) error {
	if a.cfg.Weights == nil || o.Weights == "" {
		return nil
	}
	for {
		err := a.cfg.Weights.Reserve(ctx, o.Weights, o.Bytes)
		if err == nil {
			return nil
		}
		f := fault.As(err)
		if f.Code != fault.Overloaded && f.Code != fault.Unavailable {
			return err
		}
		pause := max(f.RetryAfter, retryTable)
		if timer.Sleep(ctx, a.cfg.Timer, pause+rand.N(pause)) != nil {
			return err
		}
	}
}

// own claims the target, waiting for an earlier owner's lease to end.
func (a *Agent) own(ctx context.Context) error {
	for {
		a.leaseMu.Lock()
		step := a.lease.Next(a.cfg.Timer.Now())
		a.leaseMu.Unlock()
		var err error
		switch step := step.(type) {
		case order.Held:
			return nil
		case order.Wait:
			if timer.Sleep(ctx, a.cfg.Timer, step.For) != nil {
				return fault.New(fault.Canceled, "claim was given up")
			}
		case order.Read:
			err = a.readOwner(ctx)
		case order.Commit:
			err = a.commitOwner(ctx, step)
		}
		if err == nil || fault.Is(err, fault.Conflict) {
			continue
		}
		if timer.Sleep(ctx, a.cfg.Timer, retryTable+rand.N(retryTable)) != nil {
			return err
		}
	}
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
	if epoch, ok := a.may(); !ok || epoch == 0 {
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
