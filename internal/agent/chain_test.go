package agent

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

var (
	errNotFound   = fault.New(fault.NotFound, "no row")
	errConflict   = fault.New(fault.Conflict, "version")
	errAnswerLost = fault.New(fault.Unavailable, "lost answer").WithOutcome(fault.Unknown)
)

// testRequest is a minimal coordinator of one request: it opens the stages of
// a chain and reads the tokens of the answer.
type testRequest struct {
	tc        *testCluster
	id        string
	attempt   int
	prompt    []uint32
	maxTokens int
	chain     []*testAgent
	answer    []uint32
	early     map[int]wire.Token
}

func (tc *testCluster) newRequest(id string, maxTokens int, chain ...*testAgent) *testRequest {
	prompt := make([]uint32, 40)
	for i := range prompt {
		prompt[i] = uint32(i + 1)
	}
	return &testRequest{tc: tc, id: id, prompt: prompt, maxTokens: maxTokens, chain: chain, early: map[int]wire.Token{}}
}

// reference returns the expected answer.
func (r *testRequest) reference() []uint32 {
	return fengn.Reference(testVersion, "", testLayers, r.prompt, r.maxTokens, 9)
}

// startAttempt opens all stages for a new attempt and starts it.
func (r *testRequest) startAttempt() {
	r.tc.t.Helper()
	r.attempt++
	r.early = map[int]wire.Token{}
	stages := make([]wire.Stage, len(r.chain))
	for i, ta := range r.chain {
		stages[i] = ta.stage
	}
	for i, ta := range r.chain {
		r.tc.entry.send(ta, wire.Open{
			Request: r.id, Attempt: r.attempt, Index: i, Chain: stages, Version: testVersion,
			Prompt: r.prompt, MaxTokens: r.maxTokens, Seed: 9,
		})
	}
	cursors := make([]int, len(r.chain))
	for i := range r.chain {
		cursors[i] = awaitMessage(r.tc, func(m wire.Opened) bool { return m.Request == r.id && m.Attempt == r.attempt && m.Index == i }).Next
	}
	reset := r.attempt == 1
	if reset {
		lowest := slices.Min(cursors)
		for i := range cursors {
			cursors[i] = lowest
		}
	}
	known := append(slices.Clone(r.prompt), r.answer...)
	for i, ta := range r.chain {
		m := wire.Start{Request: r.id, Attempt: r.attempt, Cursors: cursors, Reset: reset, Emitted: len(known)}
		if i == 0 && cursors[0] < len(known) {
			m.Tokens = known[cursors[0]:]
		}
		r.tc.entry.send(ta, m)
	}
}

// readTokens reads tokens until the answer has n of them, or has ended.
func (r *testRequest) readTokens(n int) {
	r.tc.t.Helper()
	for len(r.answer) < n {
		position := len(r.prompt) + len(r.answer)
		m := awaitMessage(r.tc, func(m wire.Token) bool {
			return m.Request == r.id && m.Attempt == r.attempt && m.Position == position
		})
		r.answer = append(r.answer, m.Value)
		if m.End {
			return
		}
	}
}

func (r *testRequest) finish() {
	for _, ta := range r.chain {
		r.tc.entry.send(ta, wire.Finished{Request: r.id})
	}
}

// checkNoPositionRanTwice fails the test if an engine session ran a position
// more than once.
func (r *testRequest) checkNoPositionRanTwice() {
	r.tc.t.Helper()
	for _, ta := range r.chain {
		for id, runs := range ta.engine.Stats().Runs {
			for position, n := range runs {
				if n > 1 {
					r.tc.t.Fatalf("session %s ran position %d %d times", id, position, n)
				}
			}
		}
	}
}

// Guards against repeated steps (P1) and wrong answers (P2) without any faults,
// for chains of one to three stages.
func TestAnswerMatchesReference(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	one, first, second := tc.startStage(0, 6, 0), tc.startStage(0, 2, 0), tc.startStage(2, 5, 0)
	third, rest := tc.startStage(5, 6, 0), tc.startStage(2, 6, 0)
	for id, chain := range map[string][]*testAgent{"one": {one}, "two": {first, rest}, "three": {first, second, third}} {
		r := tc.newRequest(id, 50, chain...)
		r.startAttempt()
		r.readTokens(50)
		is.Equal(r.answer, r.reference())
		r.checkNoPositionRanTwice()
		r.finish()
		for _, ta := range chain {
			tc.eventually("sessions are closed", func() bool { return ta.agent.Idle() })
		}
	}
}

// Guards against steps that run again on the remaining stages (P1), and against
// a wrong answer (P2), when the agent of one stage is lost and the stage is
// replaced.
func TestStageReplaced(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		is := is.New(t)
		tc := newTestCluster(t)
		layers := [][2]int{{0, 2}, {2, 5}, {5, 6}}
		var chain []*testAgent
		for _, l := range layers {
			chain = append(chain, tc.startStage(l[0], l[1], time.Millisecond))
		}
		r := tc.newRequest("r", 40, chain...)
		r.startAttempt()
		r.readTokens(6)
		tc.disconnect(chain[lost])
		r.chain = slices.Clone(chain)
		r.chain[lost] = tc.startStage(layers[lost][0], layers[lost][1], time.Millisecond)
		r.startAttempt()
		r.readTokens(40)
		is.Equal(r.answer, r.reference())
		r.checkNoPositionRanTwice()
		for i, ta := range r.chain {
			if i != lost {
				is.Equal(len(ta.engine.Stats().Runs), 1) // surviving stages keep their engine session
			}
		}
	}
}

// Guards against lost or repeated tokens (P2) when a link between stages stops
// delivering messages and is redialled. The answer must continue in the
// same attempt.
func TestSilentLinkBetweenStages(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	chain := []*testAgent{tc.startStage(0, 2, time.Millisecond), tc.startStage(2, 5, time.Millisecond), tc.startStage(5, 6, time.Millisecond)}
	r := tc.newRequest("r", 30, chain...)
	r.startAttempt()
	for i, ta := range chain {
		r.readTokens(5 * (i + 1))
		successor := chain[(i+1)%len(chain)].stage.Address
		peer, ok := ta.endpoint.Peer(successor)
		is.True(ok)
		peer.(*memPeer).dropMessages()
		time.Sleep(20 * time.Millisecond)
		peer.Close(nil)
		tc.eventually("link is redialled", func() bool {
			ta.endpoint.dial(successor)
			current, up := ta.endpoint.Peer(successor)
			return up && current != peer
		})
	}
	r.readTokens(30)
	is.Equal(r.answer, r.reference())
	r.checkNoPositionRanTwice()
}

// Guards against lost tokens (P2) when the link of the entry is lost: the
// entry requests the missing ones by Resync.
func TestEntryResync(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, time.Millisecond)
	r := tc.newRequest("r", 30, ta)
	r.startAttempt()
	r.readTokens(3)
	old, _ := tc.entry.endpoint.Peer(ta.stage.Address)
	old.(*memPeer).reverse.dropMessages()
	time.Sleep(20 * time.Millisecond)
	old.Close(nil)
	tc.eventually("link is redialled", func() bool {
		tc.entry.endpoint.dial(ta.stage.Address)
		current, up := tc.entry.endpoint.Peer(ta.stage.Address)
		return up && current != old
	})
	tc.entry.send(ta, wire.Resync{Request: "r", Attempt: 1, Next: len(r.prompt) + len(r.answer)})
	r.readTokens(30)
	is.Equal(r.answer, r.reference())
}

// Guards against a request that hangs when an engine hangs or the next stage
// is unreachable: the entry must be sent StageFailed with the index of that
// stage.
func TestStageFailedIsReported(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	short := func(c *Config) { c.Times.Step = 300 * time.Millisecond }
	chain := []*testAgent{tc.startStage(0, 2, time.Millisecond), tc.startStage(2, 6, time.Millisecond, short)}
	r := tc.newRequest("r", 40, chain...)
	r.startAttempt()
	r.readTokens(3)
	chain[1].engine.SetFaults(fengn.Faults{Hang: true})
	m := awaitMessage(tc, func(m wire.StageFailed) bool { return true })
	is.Equal(m.Index, 1)
	chain[1].engine.SetFaults(fengn.Faults{})
	r.startAttempt()
	r.readTokens(10)
	tc.disconnect(chain[1])
	m = awaitMessage(tc, func(m wire.StageFailed) bool { return m.Attempt == r.attempt })
	is.Equal(m.Index, 1)
}

// Guards against sessions that are never closed after their entry has ended,
// and against closing them when the entry's link is only briefly interrupted.
func TestOrphanIsFreed(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, time.Millisecond, func(c *Config) { c.Times.Orphan = 400 * time.Millisecond })
	r := tc.newRequest("r", 10, ta)
	r.startAttempt()
	old, _ := tc.entry.endpoint.Peer(ta.stage.Address)
	old.Close(nil)
	tc.eventually("link is down", func() bool { _, up := tc.entry.endpoint.Peer(ta.stage.Address); return !up })
	tc.entry.endpoint.dial(ta.stage.Address)
	time.Sleep(600 * time.Millisecond)
	is.True(!ta.agent.Idle()) // the entry was linked again in time
	current, _ := tc.entry.endpoint.Peer(ta.stage.Address)
	current.Close(nil)
	tc.eventually("session is closed", ta.agent.Idle)
}

// Guards against sessions that are never closed because a Cancel was lost
// with its link, and against closing a session that is still in use.
func TestUnusedSessionIsFreed(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 0, func(c *Config) { c.Times.Unused = 400 * time.Millisecond })
	used, lost := tc.newRequest("used", 1, ta), tc.newRequest("lost", 1, ta)
	used.startAttempt()
	lost.startAttempt()
	for range 8 {
		time.Sleep(100 * time.Millisecond)
		tc.entry.send(ta, wire.Resync{Request: "used", Attempt: 1, Next: len(used.prompt)})
	}
	is.Equal(ta.agent.currentLoad().Open, 1)
	tc.entry.send(ta, wire.Stale{Request: "used", Rejected: 1})
	tc.eventually("session is closed", ta.agent.Idle)
}

// Guards against a leaving agent that accepts new work from an entry with an
// outdated view (P5), or that stops before the work in flight has ended (P6).
func TestDrain(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 2*time.Millisecond)
	r := tc.newRequest("r", 30, ta)
	r.startAttempt()
	r.readTokens(2)
	ta.stop()
	awaitMessage(tc, func(m wire.Leaving) bool { return m.Target == ta.stage.Target })
	tc.entry.send(ta, wire.Open{Request: "late", Attempt: 1, Chain: []wire.Stage{ta.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1})
	is.Equal(awaitMessage(tc, func(m wire.Refused) bool { return m.Request == "late" }).Reason, wire.RefusedLeaving)
	r.readTokens(30)
	is.Equal(r.answer, r.reference())
	select {
	case <-ta.ended:
		t.Fatal("agent ended while a session was open")
	default:
	}
	r.finish()
	select {
	case <-ta.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("agent did not end within 5 s of the last session")
	}
}

// Guards against admitting a request for layers, a version or an adapter that
// the engine has not loaded, and against exceeding the session limit, except
// for requests that resume after the loss of a stage.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 0, func(c *Config) { c.Limits.Sessions = Bounds{Initial: 1, Min: 1, Max: 2} })
	other := ta.stage
	other.Layers.To = 5
	open := func(id, version, adapter string, stage wire.Stage) wire.RefuseReason {
		tc.entry.send(ta, wire.Open{Request: id, Attempt: 1, Chain: []wire.Stage{stage}, Version: version, Adapter: adapter, Prompt: []uint32{1}, MaxTokens: 1})
		return awaitMessage(tc, func(m wire.Refused) bool { return m.Request == id }).Reason
	}
	is.Equal(open("a", "v9", "", ta.stage), wire.RefusedNotLoaded)
	is.Equal(open("b", testVersion, "x", ta.stage), wire.RefusedNotLoaded)
	is.Equal(open("c", testVersion, "", other), wire.RefusedNotLoaded)
	tc.newRequest("r", 1, ta).startAttempt()
	is.Equal(open("d", testVersion, "", ta.stage), wire.RefusedFull)
	load := awaitMessage(tc, func(m wire.Load) bool { return m.Open == 1 })
	is.Equal(load.Limit, 1)
	tc.entry.send(ta, wire.Open{Request: "e", Attempt: 2, Resume: true, Chain: []wire.Stage{ta.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1})
	is.Equal(awaitMessage(tc, func(m wire.Opened) bool { return m.Request == "e" }).Attempt, 2)
	tc.entry.send(ta, wire.Resync{Request: "gone", Attempt: 4})
	is.Equal(awaitMessage(tc, func(m wire.Stale) bool { return m.Request == "gone" }), wire.Stale{Request: "gone", Rejected: 4})
}

// Guards against a late CloseSession call that closes the wrong engine session:
// a request is closed and opened again at once, while that call for its old
// engine session is still in progress.
func TestReleasedRequestComesBack(t *testing.T) {
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 0)
	for i := range 20 {
		r := tc.newRequest(strconv.Itoa(i), 5, ta)
		for range 10 {
			r.startAttempt()
			tc.entry.send(ta, wire.Cancel{Request: r.id, Attempt: r.attempt})
		}
		r.startAttempt()
		r.readTokens(5)
		is.New(t).Equal(r.answer, r.reference())
		r.finish()
	}
}
