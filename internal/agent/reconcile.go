package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/order"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

// reconciler brings the engine to its declared state. It is used by one
// goroutine. It never blocks on the weight store or on a lease, so that the
// engine's state is still read while an order has to wait.
type reconciler struct {
	agent *Agent
	// notBefore is the earliest time for the next order. It is set while the
	// weight store refuses a reservation, while the lease of an earlier owner
	// runs, and after a failed table request.
	notBefore time.Time
	// reserved is the order for which the weight store has granted a
	// reservation.
	reserved order.Order
	// lastProblem is the text of the last problem, which is not logged again.
	lastProblem string
}

func (a *Agent) reconcile(ctx context.Context) error {
	r := &reconciler{agent: a}
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Observe)
	defer cancel()
	for {
		snapshot, version := a.cfg.Config.Get()
		r.logProblem(r.reconcileOnce(ctx, snapshot))
		select {
		case <-ctx.Done():
			a.releaseClaim()
			return nil
		case <-ticks:
		case <-a.cfg.Config.Changed(version):
		}
	}
}

// logProblem logs a problem only when it changes, because it recurs at each
// observation.
func (r *reconciler) logProblem(err error) {
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if problem == r.lastProblem {
		return
	}
	r.lastProblem = problem
	if err != nil {
		_ = level.Warn(r.agent.cfg.Logger).Log("msg", "target is not in its declared state", "target", r.agent.cfg.Target, "err", err)
	}
}

// reconcileOnce reads the engine's state and sends the orders that are due.
func (r *reconciler) reconcileOnce(ctx context.Context, snapshot store.Snapshot) error {
	a := r.agent
	state, err := a.readEngineState(ctx)
	if err != nil {
		a.setReady(false, engine.State{})
		return err
	}
	desired, ok := order.DesiredState(snapshot, a.cfg.Target)
	if !ok {
		a.setReady(false, state)
		return nil
	}
	a.leaseMu.Lock()
	a.lease.SetRevision(snapshot.Revision)
	if t, ok := store.Spec[resrc.Target](snapshot, a.cfg.Target); ok {
		a.lease.SetChecksFencing(t.ChecksFencing)
	}
	a.leaseMu.Unlock()
	orders := a.planOrders(desired, state).Orders
	if len(orders) == 0 {
		a.releaseClaim()
		return nil
	}
	if a.isLeaving() || a.cfg.Timer.Now().Before(r.notBefore) {
		return nil
	}
	for _, o := range orders {
		if sent, err := r.sendOrder(ctx, o); !sent {
			return err
		}
	}
	if state, err = a.readEngineState(ctx); err != nil {
		return err
	}
	a.planOrders(desired, state)
	return nil
}

func (a *Agent) readEngineState(ctx context.Context) (engine.State, error) {
	ctx, cancel := timer.WithTimeout(ctx, a.cfg.Timer, a.cfg.Times.Engine)
	defer cancel()
	return a.cfg.Engine.State(ctx)
}

// planOrders counts the open sessions and sets whether new ones are admitted,
// in one critical section, so that no session is admitted that an order would
// break.
func (a *Agent) planOrders(d order.Desired, state engine.State) order.Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := order.MakePlan(d, order.Observed{
		Version: state.Version, Layers: state.Layers, Adapters: state.Adapters, Role: state.Role, Loading: state.Loading,
	}, len(a.sessions))
	a.ready, a.engineState = p.Ready, state
	return p
}

func (a *Agent) setReady(ready bool, state engine.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ready, a.engineState = ready, state
}

// sendOrder runs one order under a claim of the target. It returns false if
// the order has to wait or has failed.
func (r *reconciler) sendOrder(ctx context.Context, o order.Order) (bool, error) {
	a := r.agent
	if ok, err := r.reserve(ctx, o); !ok {
		return false, err
	}
	if ok, err := r.claim(ctx); !ok {
		return false, err
	}
	r.reserved = order.Order{}
	epoch, _ := a.orderEpoch()
	ctx, cancel := timer.WithTimeout(ctx, a.cfg.Timer, a.cfg.Limits.Rules.LongestOrder)
	defer cancel()
	_ = level.Info(a.cfg.Logger).Log("msg", "sending order", "target", a.cfg.Target, "kind", o.Kind, "epoch", epoch)
	err := a.cfg.Engine.SendOrder(ctx, engine.Order{
		Kind: engine.OrderKind(o.Kind), Version: o.Version, Layers: o.Layers, Adapter: o.Adapter, Role: o.Role, Bytes: o.Bytes, Fence: epoch,
	}, func() error {
		if current, ok := a.orderEpoch(); !ok || current != epoch {
			return fault.New(fault.Conflict, "claim of the target ended before the order was sent")
		}
		return nil
	})
	return err == nil, err
}

// reserve requests permission from the weight store to load the weights of an
// order.
func (r *reconciler) reserve(ctx context.Context, o order.Order) (bool, error) {
	if r.agent.cfg.Weights == nil || o.Weights == "" || r.reserved == o {
		return true, nil
	}
	err := r.agent.cfg.Weights.Reserve(ctx, o.Weights, o.Bytes)
	if err == nil {
		r.reserved = o
		return true, nil
	}
	// The jitter spreads the retries of all targets that were refused.
	pause := max(fault.As(err).RetryAfter, tableRetryDelay)
	r.postpone(pause + rand.N(pause))
	return false, err
}

// claim claims the target, unless it is already claimed by this agent. It
// returns false if the agent has to wait, for example until the lease of an
// earlier owner expires.
func (r *reconciler) claim(ctx context.Context) (bool, error) {
	a := r.agent
	for {
		a.leaseMu.Lock()
		step := a.lease.Next(a.cfg.Timer.Now())
		a.leaseMu.Unlock()
		var err error
		switch step := step.(type) {
		case order.Held:
			return true, nil
		case order.Wait:
			r.postpone(step.For)
			return false, nil
		case order.AwaitRevision:
			r.postpone(tableRetryDelay)
			return false, fault.Newf(fault.Conflict, "configuration is outdated: last owner of the target acted on revision %d", step.Revision)
		case order.Read:
			err = a.readOwner(ctx)
		case order.Commit:
			err = a.commitOwner(ctx, step)
		}
		if err != nil && !fault.Is(err, fault.Conflict) {
			r.postpone(tableRetryDelay + rand.N(tableRetryDelay))
			return false, err
		}
	}
}

func (r *reconciler) postpone(d time.Duration) { r.notBefore = r.agent.cfg.Timer.Now().Add(d) }
