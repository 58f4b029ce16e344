package agent

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/order"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

var (
	allLayers  = resrc.LayerRange{From: 0, To: testLayers}
	shortRules = order.Rules{Lease: 300 * time.Millisecond, LongestOrder: 200 * time.Millisecond, Gap: time.Second}
)

func withRules(c *Config) { c.Limits.Rules = shortRules }

func (w *world) setOwner(target string, o order.Owner) {
	value, err := json.Marshal(o)
	if err != nil {
		w.t.Fatal(err)
	}
	key := "Owner/" + target
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.table.rows[key] = plat.Row{Key: key, Version: w.table.rows[key].Version + 1, Value: value}
}

func (w *world) owner(target string) (o order.Owner) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	_ = json.Unmarshal(w.table.rows["Owner/"+target].Value, &o)
	return o
}

// Guards against an engine that stays empty, also when the answer to the claim
// is lost, and against a claim that is held without need.
func TestEmptyEngineIsLoaded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.table.lose = 1
	e := fengn.New(fengn.Config{LoadTime: 20 * time.Millisecond})
	// The lease outlasts the pause after the lost answer.
	p := w.start(e, allLayers, func(c *Config) {
		c.Limits.Rules = order.Rules{Lease: 10 * time.Second, LongestOrder: time.Second, Gap: 10 * time.Second}
	})
	w.waitReady(p)
	is.Equal(len(e.Stats().Orders), 1)
	is.Equal(e.Stats().Orders[0].Fence, uint64(1))
	is.Equal(e.Stats().Orders[0].Bytes, int64(600))
	w.eventually("claim is released", func() bool { return w.owner(p.stage.Target).Released })
	w.request("r", 1, p).begin()
}

// Guards P6 on a change of the version: the open request ends first, and no
// new one of the old version is admitted.
func TestVersionChangeWaitsForSessions(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.stage(0, 6, 2*time.Millisecond, withRules)
	r := w.request("r", 20, p)
	r.begin()
	r.read(2)
	w.declare(p.stage.Target, resrc.Target{Version: "v2", Layers: allLayers})
	w.eventually("agent is not ready", func() bool { return !p.agent.load().Ready })
	w.entry.send(p, wire.Open{Request: "new", Attempt: 1, Chain: []wire.Stage{p.stage}, Version: testVersion, Prompt: []uint32{1}})
	is.Equal(next(w, func(m wire.Refused) bool { return m.Request == "new" }).Reason, wire.RefusedNotLoaded)
	r.read(20)
	is.Equal(r.answer, r.reference())
	is.Equal(len(p.engine.Stats().Orders), 0)
	r.finish()
	w.waitReady(p)
	is.Equal(p.engine.State().Version, "v2")
}

// Guards P8: a new owner waits for the old lease, and for an order that may
// still run on an engine that ignores the fencing token.
func TestNewOwnerWaits(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		w := newWorld(t)
		w.setOwner("t1", order.Owner{Holder: "old", Epoch: 7, Lease: 200 * time.Millisecond})
		w.declare("t1", resrc.Target{Version: testVersion, Layers: allLayers, ChecksFencing: checks})
		e := fengn.New(fengn.Config{IgnoreFence: !checks})
		begin := time.Now()
		p := w.start(e, allLayers, withRules, func(*Config) {
			w.declare("t1", resrc.Target{Version: testVersion, Layers: allLayers, ChecksFencing: checks})
		})
		w.waitReady(p)
		is.Equal(e.Stats().Orders[0].Fence, uint64(8))
		wait := 200 * time.Millisecond
		if !checks {
			wait += shortRules.LongestOrder
		}
		is.True(time.Since(begin) >= wait)
	}
}

// Guards P8: an order is not sent once the claim has ended, however late the
// pause comes between the decision and the sending.
func TestPausedOwnerSendsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.stage(0, 6, 0, withRules)
	// The second agent does not run: after one tick it is paused.
	cfg := p.agent.cfg
	cfg.Incarnation = "second"
	a := New(cfg)
	a.lease.Tick(time.Now())
	r := &reconciler{agent: a}
	owned, err := r.own(t.Context())
	is.NoErr(err)
	is.True(owned)
	epoch, ok := a.may()
	is.True(ok && epoch == 1)
	// Its lease passes, and another agent takes over.
	time.Sleep(2 * shortRules.Lease)
	w.setOwner("t1", order.Owner{Holder: "other", Epoch: 2, Lease: time.Hour})
	_, ok = a.may()
	is.True(!ok)
	err = a.cfg.Engine.Do(t.Context(), engine.Order{Kind: engine.OrderRole, Role: "Decode", Fence: epoch}, func() error {
		if now, ok := a.may(); !ok || now != epoch {
			return conflict
		}
		return nil
	})
	is.True(err != nil)
	is.Equal(len(p.engine.Stats().Orders), 0)
}

// busyWeights gives a turn only after some refusals.
type busyWeights struct{ refusals atomic.Int64 }

// Reserve implements plat.Weights.
func (b *busyWeights) Reserve(context.Context, string, int64) error {
	if b.refusals.Add(-1) >= 0 {
		return fault.New(fault.Overloaded, "rate is used up").WithRetryAfter(20 * time.Millisecond)
	}
	return nil
}

// Guards against a load outside the weight store's rate, and against an agent
// that stops observing its engine while it waits for a turn.
func TestLoadWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	weights := &busyWeights{}
	weights.refusals.Store(2)
	e := fengn.New(fengn.Config{})
	p := w.start(e, allLayers, func(c *Config) { c.Weights = weights })
	w.eventually("first refusal", func() bool { return weights.refusals.Load() < 2 })
	is.Equal(len(e.Stats().Orders), 0)
	w.waitReady(p)
	is.Equal(len(e.Stats().Orders), 1)
	is.Equal(weights.refusals.Load(), int64(-1)) // one turn for one order
}

// Guards P5 for a drain by the operator, which may be taken back.
func TestOperatorDrain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.stage(0, 6, 0)
	w.declare(p.stage.Target, resrc.Target{Version: testVersion, Layers: allLayers, Draining: true})
	open := wire.Open{Request: "r", Attempt: 1, Chain: []wire.Stage{p.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1}
	w.entry.send(p, open)
	is.Equal(next(w, func(m wire.Refused) bool { return true }).Reason, wire.RefusedLeaving)
	is.True(next(w, func(m wire.Load) bool { return m.Leaving }).Ready == false)
	w.declare(p.stage.Target, resrc.Target{Version: testVersion, Layers: allLayers})
	w.entry.send(p, open)
	next(w, func(m wire.Opened) bool { return true })
}
