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
	shortRules = order.LeaseRules{Lease: 300 * time.Millisecond, LongestOrder: 200 * time.Millisecond, Gap: time.Second}
)

func withShortRules(c *Config) { c.Limits.Rules = shortRules }

func (tc *testCluster) setOwner(target string, o order.Owner) {
	value, err := json.Marshal(o)
	if err != nil {
		tc.t.Fatal(err)
	}
	key := "Owner/" + target
	tc.table.mu.Lock()
	defer tc.table.mu.Unlock()
	tc.table.rows[key] = plat.Row{Key: key, Version: tc.table.rows[key].Version + 1, Value: value}
}

func (tc *testCluster) owner(target string) (o order.Owner) {
	tc.table.mu.Lock()
	defer tc.table.mu.Unlock()
	_ = json.Unmarshal(tc.table.rows["Owner/"+target].Value, &o)
	return o
}

// Guards against an engine that is never loaded, also if the answer to the
// write of the claim is lost, and against a claim that is kept longer than
// needed.
func TestEmptyEngineIsLoaded(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.table.answersToLose = 1
	e := fengn.New(fengn.Config{LoadTime: 20 * time.Millisecond})
	// The lease is longer than the delay after the lost answer.
	ta := tc.startAgent(e, allLayers, func(c *Config) {
		c.Limits.Rules = order.LeaseRules{Lease: 10 * time.Second, LongestOrder: time.Second, Gap: 10 * time.Second}
	})
	tc.waitReady(ta)
	is.Equal(len(e.Stats().Orders), 1)
	is.Equal(e.Stats().Orders[0].Fence, uint64(1))
	is.Equal(e.Stats().Orders[0].Bytes, int64(600))
	tc.eventually("claim is released", func() bool { return tc.owner(ta.stage.Target).Released })
	tc.newRequest("r", 1, ta).startAttempt()
}

// Guards against a version change that breaks an open session (P6), and against
// new sessions of the old version while the change waits.
func TestVersionChangeWaitsForSessions(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 2*time.Millisecond, withShortRules)
	r := tc.newRequest("r", 20, ta)
	r.startAttempt()
	r.readTokens(2)
	tc.declare(ta.stage.Target, resrc.Target{Version: "v2", Layers: allLayers})
	tc.eventually("agent is not ready", func() bool { return !ta.agent.currentLoad().Ready })
	tc.entry.send(ta, wire.Open{Request: "new", Attempt: 1, Chain: []wire.Stage{ta.stage}, Version: testVersion, Prompt: []uint32{1}})
	is.Equal(awaitMessage(tc, func(m wire.Refused) bool { return m.Request == "new" }).Reason, wire.RefusedNotLoaded)
	r.readTokens(20)
	is.Equal(r.answer, r.reference())
	is.Equal(len(ta.engine.Stats().Orders), 0)
	r.finish()
	tc.waitReady(ta)
	is.Equal(ta.engine.State().Version, "v2")
}

// Guards against two agents that send orders to one target (P8): a new owner
// must wait for the old lease and, if the engine ignores fencing tokens, for
// an order that may still be running.
func TestNewOwnerWaits(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		tc := newTestCluster(t)
		tc.setOwner("t1", order.Owner{Holder: "old", Epoch: 7, Lease: 200 * time.Millisecond})
		tc.declare("t1", resrc.Target{Version: testVersion, Layers: allLayers, ChecksFencing: checks})
		e := fengn.New(fengn.Config{IgnoreFence: !checks})
		begin := time.Now()
		ta := tc.startAgent(e, allLayers, withShortRules, func(*Config) {
			tc.declare("t1", resrc.Target{Version: testVersion, Layers: allLayers, ChecksFencing: checks})
		})
		tc.waitReady(ta)
		is.Equal(e.Stats().Orders[0].Fence, uint64(8))
		wait := 200 * time.Millisecond
		if !checks {
			wait += shortRules.LongestOrder
		}
		is.True(time.Since(begin) >= wait)
	}
}

// Guards against an order that is sent after its claim has ended (P8),
// because the process was paused between the decision and the sending.
func TestPausedOwnerSendsNothing(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 0, withShortRules)
	// The second agent is not started: after one tick it behaves like a
	// paused process.
	cfg := ta.agent.cfg
	cfg.Incarnation = "second"
	a := New(cfg)
	a.lease.Tick(time.Now())
	r := &reconciler{agent: a}
	owned, err := r.claim(t.Context())
	is.NoErr(err)
	is.True(owned)
	epoch, ok := a.orderEpoch()
	is.True(ok && epoch == 1)
	// Its lease expires, and another agent claims the target.
	time.Sleep(2 * shortRules.Lease)
	tc.setOwner("t1", order.Owner{Holder: "other", Epoch: 2, Lease: time.Hour})
	_, ok = a.orderEpoch()
	is.True(!ok)
	err = a.cfg.Engine.SendOrder(t.Context(), engine.Order{Kind: engine.OrderRole, Role: "Decode", Fence: epoch}, func() error {
		if current, ok := a.orderEpoch(); !ok || current != epoch {
			return errConflict
		}
		return nil
	})
	is.True(err != nil)
	is.Equal(len(ta.engine.Stats().Orders), 0)
}

// busyWeights is a weight store that grants a reservation only after a number
// of refusals.
type busyWeights struct{ refusals atomic.Int64 }

// Reserve implements plat.Weights.
func (b *busyWeights) Reserve(context.Context, string, int64) error {
	if b.refusals.Add(-1) >= 0 {
		return fault.New(fault.Overloaded, "rate is used up").WithRetryAfter(20 * time.Millisecond)
	}
	return nil
}

// Guards against a load that exceeds the rate of the weight store, and
// against an agent that stops reading its engine's state while it waits for a
// reservation.
func TestLoadWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	weights := &busyWeights{}
	weights.refusals.Store(2)
	e := fengn.New(fengn.Config{})
	ta := tc.startAgent(e, allLayers, func(c *Config) { c.Weights = weights })
	tc.eventually("first refusal", func() bool { return weights.refusals.Load() < 2 })
	is.Equal(len(e.Stats().Orders), 0)
	tc.waitReady(ta)
	is.Equal(len(e.Stats().Orders), 1)
	is.Equal(weights.refusals.Load(), int64(-1)) // one reservation for one order
}

// Guards against new work on a target that the operator drains (P5), and
// against a target that stays closed after the drain has been undone.
func TestOperatorDrain(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 0)
	tc.declare(ta.stage.Target, resrc.Target{Version: testVersion, Layers: allLayers, Draining: true})
	open := wire.Open{Request: "r", Attempt: 1, Chain: []wire.Stage{ta.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1}
	tc.entry.send(ta, open)
	is.Equal(awaitMessage(tc, func(m wire.Refused) bool { return true }).Reason, wire.RefusedLeaving)
	is.True(awaitMessage(tc, func(m wire.Load) bool { return m.Leaving }).Ready == false)
	tc.declare(ta.stage.Target, resrc.Target{Version: testVersion, Layers: allLayers})
	tc.entry.send(ta, open)
	awaitMessage(tc, func(m wire.Opened) bool { return true })
}
