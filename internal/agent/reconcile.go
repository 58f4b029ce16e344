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
// goroutine; whatever it has to wait for, it goes on observing the engine.
type reconciler struct {
	agent *Agent
	// notBefore is when the next order may be tried: the weight store or an
	// earlier owner's lease may ask to wait.
	notBefore time.Time
	// reserved is the order for which the weight store gave a turn.
	reserved order.Order
	// problem is the last one logged.
	problem string
}

func (a *Agent) reconcile(ctx context.Context) error {
	r := &reconciler{agent: a}
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Observe)
	defer cancel()
	for {
		snapshot, version := a.cfg.Config.Get()
		r.log(r.run(ctx, snapshot))
		select {
		case <-ctx.Done():
			a.release()
			return nil
		case <-ticks:
		case <-a.cfg.Config.Changed(version):
		}
	}
}

// log reports a problem once, since it is met again at each observation.
func (r *reconciler) log(err error) {
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if problem == r.problem {
		return
	}
	r.problem = problem
	if err != nil {
		_ = level.Warn(r.agent.cfg.Logger).Log("msg", "target is not in its declared state", "target", r.agent.cfg.Target, "err", err)
	}
}

func (r *reconciler) run(ctx context.Context, snapshot store.Snapshot) error {
	a := r.agent
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
	a.leaseMu.Lock()
	a.lease.SetRevision(snapshot.Revision)
	if t, ok := store.Spec[resrc.Target](snapshot, a.cfg.Target); ok {
		a.lease.SetChecksFencing(t.ChecksFencing)
	}
	a.leaseMu.Unlock()
	orders := a.plan(desired, state).Orders
	if len(orders) == 0 {
		a.release()
		return nil
	}
	if a.left() || a.cfg.Timer.Now().Before(r.notBefore) {
		return nil
	}
	for _, o := range orders {
		if sent, err := r.send(ctx, o); !sent {
			return err
		}
	}
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

// send runs one order under a claim of the target; false if it must wait.
func (r *reconciler) send(ctx context.Context, o order.Order) (bool, error) {
	a := r.agent
	if ok, err := r.reserve(ctx, o); !ok {
		return false, err
	}
	if ok, err := r.own(ctx); !ok {
		return false, err
	}
	r.reserved = order.Order{}
	epoch, _ := a.may()
	ctx, cancel := timer.WithTimeout(ctx, a.cfg.Timer, a.cfg.Limits.Rules.LongestOrder)
	defer cancel()
	_ = level.Info(a.cfg.Logger).Log("msg", "sending order", "target", a.cfg.Target, "kind", o.Kind, "epoch", epoch)
	err := a.cfg.Engine.Do(ctx, engine.Order{
		Kind: engine.OrderKind(o.Kind), Version: o.Version, Layers: o.Layers, Adapter: o.Adapter, Role: o.Role, Bytes: o.Bytes, Fence: epoch,
	}, func() error {
		if now, ok := a.may(); !ok || now != epoch {
			return fault.New(fault.Conflict, "the claim of the target has ended")
		}
		return nil
	})
	return err == nil, err
}

// reserve asks the weight store for a turn.
func (r *reconciler) reserve(ctx context.Context, o order.Order) (bool, error) {
	if r.agent.cfg.Weights == nil || o.Weights == "" || r.reserved == o {
		return true, nil
	}
	err := r.agent.cfg.Weights.Reserve(ctx, o.Weights, o.Bytes)
	if err == nil {
		r.reserved = o
		return true, nil
	}
	// The targets that are turned away come back spread over a while.
	pause := max(fault.As(err).RetryAfter, retryTable)
	r.wait(pause + rand.N(pause))
	return false, err
}

// own claims the target; false if it must wait, as for an earlier owner's
// lease to end.
func (r *reconciler) own(ctx context.Context) (bool, error) {
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
			r.wait(step.For)
			return false, nil
		case order.Behind:
			r.wait(retryTable)
			return false, fault.Newf(fault.Conflict, "the last owner of the target acted on revision %d", step.Revision)
		case order.Read:
			err = a.readOwner(ctx)
		case order.Commit:
			err = a.commitOwner(ctx, step)
		}
		if err != nil && !fault.Is(err, fault.Conflict) {
			r.wait(retryTable + rand.N(retryTable))
			return false, err
		}
	}
}

func (r *reconciler) wait(d time.Duration) { r.notBefore = r.agent.cfg.Timer.Now().Add(d) }
