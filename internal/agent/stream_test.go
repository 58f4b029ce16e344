package agent

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fakes/relay"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// startStageBehindRelay starts an agent whose engine has loaded all layers
// and is reached through a relay.
func (tc *testCluster) startStageBehindRelay(step time.Duration) (*testAgent, *relay.Relay) {
	layers := resrc.LayerRange{From: 0, To: testLayers}
	e := fengn.New(fengn.Config{
		Cost: fengn.Cost{Base: 2 * time.Millisecond}, Held: engine.State{Version: testVersion, Layers: layers},
	})
	server := httptest.NewServer(e.Handler())
	tc.t.Cleanup(server.Close)
	r, err := relay.Start("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(r.Close)
	ta := tc.startAgent(e, layers, func(c *Config) {
		c.Engine = engine.NewClient("http://" + r.Address())
		c.Times.Step = step
	})
	tc.waitReady(ta)
	return ta, r
}

// Guards against steps that run twice (P1), and against an answer with missing
// tokens (P2), when connections to the engine are cut while steps are in flight:
// results that were lost are fetched again.
func TestStepsAreSentAgain(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta, engineRelay := tc.startStageBehindRelay(time.Second)
	r := tc.newRequest("r", 30, ta)
	r.startAttempt()
	for n := 8; n <= 24; n += 8 {
		r.readTokens(n)
		engineRelay.Cut()
	}
	r.readTokens(30)
	is.Equal(r.answer, r.reference())
	r.checkNoPositionRanTwice()
}

// Guards against a stage that hangs or keeps failing when the connection that
// carries its steps stops delivering data, while new connections work. The
// step in flight must fail within its timeout, and the next attempt must use
// another connection.
func TestSilentEngineConnection(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	const step = 300 * time.Millisecond
	ta, engineRelay := tc.startStageBehindRelay(step)
	r := tc.newRequest("r", 30, ta)
	r.startAttempt()
	r.readTokens(5)
	engineRelay.Silence()
	begun := time.Now()
	awaitMessage(tc, func(m wire.StageFailed) bool { return m.Request == "r" })
	is.True(time.Since(begun) < 3*step)
	r.startAttempt()
	r.readTokens(30)
	is.Equal(r.answer, r.reference())
}

// Guards against losing all steps when the connection to the engine stops
// delivering data: only the step that has timed out fails, and a later one is
// sent again on another connection within its timeout.
func TestSilentEngineConnectionLosesOneStep(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	const step = 400 * time.Millisecond
	ta, engineRelay := tc.startStageBehindRelay(step)
	for _, id := range []string{"a", "b"} {
		_, err := ta.agent.cfg.Engine.OpenSession(t.Context(), engine.SessionRequest{
			Session: id, Version: testVersion, Layers: ta.stage.Layers,
		})
		is.NoErr(err)
	}
	run := func(id string, position int) <-chan error {
		ended := make(chan error, 1)
		ta.agent.batcher.add(&stepJob{
			step:   engine.BatchStep{Session: id, StepRequest: engine.StepRequest{Position: position, Count: 1, Data: make([]byte, 4)}},
			wanted: func() bool { return true }, onDone: func(_ engine.StepResult, err error) { ended <- err },
		})
		return ended
	}
	is.NoErr(<-run("a", 0))
	engineRelay.Silence()
	first := run("a", 1)
	time.Sleep(step / 2)
	second := run("b", 0)
	is.True(fault.Is(<-first, fault.Deadline))
	is.NoErr(<-second)
}

// Guards against a stream that is never closed, which would delay a planned
// shutdown of the engine, and against steps that are lost when a stream
// closes.
func TestIdleStreamIsClosed(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta, _ := tc.startStageBehindRelay(100 * time.Millisecond)
	for _, id := range []string{"a", "b"} {
		r := tc.newRequest(id, 10, ta)
		r.startAttempt()
		r.readTokens(10)
		is.Equal(r.answer, r.reference())
		r.finish()
		tc.eventually("stream is closed", func() bool {
			ta.agent.batcher.mu.Lock()
			defer ta.agent.batcher.mu.Unlock()
			return ta.agent.batcher.current == nil
		})
	}
}
