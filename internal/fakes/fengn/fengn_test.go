package fengn

import (
	"encoding/binary"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
	"shallotcourse/pkg/resrc"
)

func startEngine(t *testing.T, cfg Config) (*Engine, *engine.Client) {
	if cfg.Held.Version == "" {
		cfg.Held = engine.State{Version: "v", Layers: resrc.LayerRange{From: 0, To: 4}}
	}
	e := New(cfg)
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return e, engine.NewClient(s.URL)
}

func sessionRequest(id string, prompt []uint32) engine.SessionRequest {
	return engine.SessionRequest{
		Session: id, Version: "v", Layers: resrc.LayerRange{From: 0, To: 4}, Prompt: prompt, Seed: 3, Sample: true,
	}
}

func tokenStep(position int, values ...uint32) engine.StepRequest {
	r := engine.StepRequest{Position: position, Count: len(values)}
	for _, v := range values {
		r.Data = binary.LittleEndian.AppendUint32(r.Data, v)
	}
	return r
}

func sequence(n int) []uint32 {
	out := make([]uint32, n)
	for i := range out {
		out[i] = uint32(i + 1)
	}
	return out
}

// Guards against an engine whose answers differ from Reference, on which other
// tests rely, and against answers that do not depend on layers and adapter or
// never end early.
func TestEngineMatchesReference(t *testing.T) {
	is := is.New(t)
	_, c := startEngine(t, Config{})
	prompt := sequence(5)
	_, err := c.OpenSession(t.Context(), sessionRequest("s", prompt))
	is.NoErr(err)
	r, err := c.Step(t.Context(), "s", tokenStep(0, prompt...))
	is.NoErr(err)
	var answer []uint32
	for len(answer) < 40 {
		is.Equal(len(r.Tokens), 1)
		answer = append(answer, r.Tokens[0].Value)
		if r.Tokens[0].End {
			break
		}
		r, err = c.Step(t.Context(), "s", tokenStep(r.Tokens[0].Position, r.Tokens[0].Value))
		is.NoErr(err)
	}
	is.Equal(answer, Reference("v", "", 4, prompt, 40, 3))
	is.True(!slices.Equal(answer, Reference("v", "", 3, prompt, 40, 3)))
	is.True(!slices.Equal(answer, Reference("v", "a", 4, prompt, 40, 3)))
	ended := 0
	for seed := range uint64(100) {
		a := Reference("v", "", 4, prompt, 40, seed)
		if a[len(a)-1] == token.End {
			ended++
		}
		is.Equal(len(ReferenceEndless("v", "", 4, prompt, 40, seed)), 40)
	}
	is.True(ended > 10 && ended < 90)
}

// Guards against positions that are computed twice: a repeated step returns the
// earlier result, and a step after the next position is refused.
func TestResumeRunsNothingAgain(t *testing.T) {
	is := is.New(t)
	e, c := startEngine(t, Config{})
	_, err := c.OpenSession(t.Context(), sessionRequest("s", sequence(4)))
	is.NoErr(err)
	first, err := c.Step(t.Context(), "s", tokenStep(0, sequence(4)...))
	is.NoErr(err)
	again, err := c.Step(t.Context(), "s", tokenStep(0, sequence(4)...))
	is.NoErr(err)
	is.Equal(again, first)
	_, err = c.Step(t.Context(), "s", tokenStep(5, 1))
	is.True(fault.Is(err, fault.Conflict))
	is.Equal(e.Stats().Runs["s"], []int{1, 1, 1, 1})
	_, err = c.Truncate(t.Context(), "s", 2)
	is.NoErr(err)
	cut, err := c.Step(t.Context(), "s", tokenStep(2, 3, 4))
	is.NoErr(err)
	is.Equal(cut.Data, first.Data[2*outputBytes:])
	is.NoErr(c.CloseSession(t.Context(), "s"))
	_, err = c.Step(t.Context(), "s", tokenStep(4, 1))
	is.True(fault.Is(err, fault.NotFound))
}

// Guards against broken continuous batching: steps that arrive during an
// iteration share the next one, and those of higher priority run first when the
// batch is full.
func TestStepsAreBatched(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	cost := Cost{Base: 10 * time.Millisecond, PerToken: time.Millisecond}
	e := New(Config{Timer: clock, Cost: cost, BatchTokens: 4, Held: engine.State{Version: "v", Layers: resrc.LayerRange{From: 0, To: 4}}})
	ids := []string{"a", "b", "c", "d", "e", "f"}
	answers := map[string]chan stepAnswer{}
	for i, id := range ids {
		r := sessionRequest(id, nil)
		r.Priority = i
		_, err := e.openSession(r)
		is.NoErr(err)
		answers[id] = make(chan stepAnswer, 1)
		is.NoErr(e.submit(engine.BatchStep{Session: id, StepRequest: tokenStep(0, 1)}, 0, answers[id]))
	}
	answered := func() (out []string) {
		for _, id := range ids {
			if len(answers[id]) > 0 {
				out = append(out, id)
			}
		}
		return out
	}
	clock.Advance(10 * time.Millisecond)
	is.Equal(answered(), nil)
	clock.Advance(time.Millisecond)
	is.Equal(answered(), []string{"a"})
	clock.Advance(14 * time.Millisecond)
	is.Equal(answered(), []string{"a", "c", "d", "e", "f"})
	clock.Advance(11 * time.Millisecond)
	is.Equal(answered(), ids)
	is.Equal(e.Stats().Positions, 6)
}

// Guards against a leak of sessions whose agent was killed and cannot close
// them.
func TestUnusedSessionIsFreed(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	e := New(Config{Timer: clock, Held: engine.State{Version: "v", Layers: resrc.LayerRange{From: 0, To: 4}}})
	_, err := e.openSession(sessionRequest("old", nil))
	is.NoErr(err)
	clock.Advance(50 * time.Second)
	_, err = e.openSession(sessionRequest("new", nil))
	is.NoErr(err)
	clock.Advance(50 * time.Second)
	_, err = e.openSession(sessionRequest("other", nil))
	is.NoErr(err)
	is.Equal(len(e.sessions), 2)
	is.Equal(e.sessions["old"], nil)
}

// Guards against a prefix cache whose hits change the output or that exceeds its
// capacity, and against cache events that lack the configured gaps or are
// returned too early.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	e, c := startEngine(t, Config{BlockTokens: 4, CacheBlocks: 3, EventGap: 3})
	prompt := sequence(12)
	_, err := c.OpenSession(t.Context(), sessionRequest("a", prompt))
	is.NoErr(err)
	full, err := c.Step(t.Context(), "a", tokenStep(0, prompt...))
	is.NoErr(err)
	state, err := c.OpenSession(t.Context(), sessionRequest("b", prompt))
	is.NoErr(err)
	is.Equal(state.Next, 8) // the last position always runs, so that a token is sampled
	rest, err := c.Step(t.Context(), "b", tokenStep(8, prompt[8:]...))
	is.NoErr(err)
	is.Equal(rest.Tokens, full.Tokens)
	other := append([]uint32{9}, prompt...)
	_, err = c.OpenSession(t.Context(), sessionRequest("c", other))
	is.NoErr(err)
	_, err = c.Step(t.Context(), "c", tokenStep(0, other...))
	is.NoErr(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(e.cache.order.Len(), 3)
	events := e.cache.eventsSince(0, time.Now())
	is.Equal(len(events), 6) // six blocks added and three evicted; every third event dropped
	is.Equal(e.cache.eventsSince(0, time.Now().Add(-time.Hour)), []engine.CacheEvent{})
}

// Guards against a session that continues differently after it moved to another
// engine.
func TestExportAndImport(t *testing.T) {
	is := is.New(t)
	_, from := startEngine(t, Config{})
	_, to := startEngine(t, Config{})
	_, err := from.OpenSession(t.Context(), sessionRequest("s", sequence(3)))
	is.NoErr(err)
	_, err = from.Step(t.Context(), "s", tokenStep(0, 1, 2))
	is.NoErr(err)
	kv, err := from.Export(t.Context(), "s")
	is.NoErr(err)
	state, err := to.Import(t.Context(), kv)
	is.NoErr(err)
	is.Equal(state.Next, 2)
	want, err := from.Step(t.Context(), "s", tokenStep(2, 3))
	is.NoErr(err)
	got, err := to.Step(t.Context(), "s", tokenStep(2, 3))
	is.NoErr(err)
	is.Equal(got, want)
}

// Guards against a fake engine that does not apply IgnoreFence: an order with
// an outdated fencing token is rejected without it and executed with it.
func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		is := is.New(t)
		e, c := startEngine(t, Config{IgnoreFence: ignore, LoadTime: 10 * time.Millisecond})
		pass := func() error { return nil }
		is.NoErr(c.SendOrder(t.Context(), engine.Order{Kind: engine.OrderRole, Role: "Decode", Fence: 5}, pass))
		err := c.SendOrder(t.Context(), engine.Order{Kind: engine.OrderLoad, Version: "old", Fence: 4}, pass)
		is.Equal(err == nil, ignore)
		is.Equal(e.State().Version == "old", ignore)
		is.Equal(e.Stats().Rejected == 0, ignore)
	}
}

// Guards against injected faults that do not happen, on which other tests rely.
func TestFaults(t *testing.T) {
	is := is.New(t)
	e, c := startEngine(t, Config{})
	_, err := c.OpenSession(t.Context(), sessionRequest("s", nil))
	is.NoErr(err)
	e.SetFaults(Faults{RefuseSteps: true})
	_, err = c.Step(t.Context(), "s", tokenStep(0, 1))
	is.True(fault.Is(err, fault.Unavailable))
	e.SetFaults(Faults{Hang: true})
	done := make(chan error, 1)
	go func() {
		_, err := c.Step(t.Context(), "s", tokenStep(0, 1))
		done <- err
	}()
	select {
	case <-done:
		t.Fatal("a hanging engine answered")
	case <-time.After(50 * time.Millisecond):
	}
	e.SetFaults(Faults{})
	is.NoErr(<-done)
}
