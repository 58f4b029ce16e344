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

// relayed starts an agent that reaches its engine, which holds all layers,
// over a relay.
func (w *world) relayed(step time.Duration) (*place, *relay.Relay) {
	layers := resrc.LayerRange{From: 0, To: testLayers}
	e := fengn.New(fengn.Config{
		Cost: fengn.Cost{Base: 2 * time.Millisecond}, Held: engine.State{Version: testVersion, Layers: layers},
	})
	server := httptest.NewServer(e.Handler())
	w.t.Cleanup(server.Close)
	r, err := relay.Start("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(r.Close)
	p := w.start(e, layers, func(c *Config) {
		c.Engine = engine.NewClient("http://" + r.Address())
		c.Times.Step = step
	})
	w.waitReady(p)
	return p, r
}

// Guards P1 and P2 when connections to the engine are cut in the middle of
// steps: lost answers are fetched again, and nothing runs twice.
func TestStepsAreSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p, relayed := w.relayed(time.Second)
	r := w.request("r", 30, p)
	r.begin()
	for n := 8; n <= 24; n += 8 {
		r.read(n)
		relayed.Cut()
	}
	r.read(30)
	is.Equal(r.answer, r.reference())
	r.checkRuns()
}

// Guards against a stage that hangs, or stays failed, when the connection for
// its steps goes silent while new ones work: the step that is under way fails
// within its time, and the next attempt uses another connection.
func TestSilentEngineConnection(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	const step = 300 * time.Millisecond
	p, relayed := w.relayed(step)
	r := w.request("r", 30, p)
	r.begin()
	r.read(5)
	relayed.Silence()
	begun := time.Now()
	next(w, func(m wire.StageFailed) bool { return m.Request == "r" })
	is.True(time.Since(begun) < 3*step)
	r.begin()
	r.read(30)
	is.Equal(r.answer, r.reference())
}

// Guards against the loss of all steps when the connection goes silent: only
// the step that has taken too long fails, and a later one is sent again on
// another connection within its time.
func TestSilentEngineConnectionLosesOneStep(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	const step = 400 * time.Millisecond
	p, relayed := w.relayed(step)
	for _, id := range []string{"a", "b"} {
		_, err := p.agent.cfg.Engine.Open(t.Context(), engine.SessionRequest{
			Session: id, Version: testVersion, Layers: p.stage.Layers,
		})
		is.NoErr(err)
	}
	run := func(id string, position int) <-chan error {
		ended := make(chan error, 1)
		p.agent.steps.add(&job{
			step: engine.BatchStep{Session: id, StepRequest: engine.StepRequest{Position: position, Count: 1, Data: make([]byte, 4)}},
			live: func() bool { return true }, ended: func(_ engine.StepResult, err error) { ended <- err },
		})
		return ended
	}
	is.NoErr(<-run("a", 0))
	relayed.Silence()
	first := run("a", 1)
	time.Sleep(step / 2)
	second := run("b", 0)
	is.True(fault.Is(<-first, fault.Deadline))
	is.NoErr(<-second)
}

// Guards against a stream that is kept open for ever and would hold up a
// planned stop of the engine, and against steps that are lost when it closes.
func TestIdleStreamIsClosed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p, _ := w.relayed(100 * time.Millisecond)
	for _, id := range []string{"a", "b"} {
		r := w.request(id, 10, p)
		r.begin()
		r.read(10)
		is.Equal(r.answer, r.reference())
		r.finish()
		w.eventually("stream is closed", func() bool {
			p.agent.steps.mu.Lock()
			defer p.agent.steps.mu.Unlock()
			return p.agent.steps.current == nil
		})
	}
}
