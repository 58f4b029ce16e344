package chain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/script"
	"shallotcourse/internal/topo"
)

// model has 10 layers. A card whose target holds 8 layers has memory left for
// 2000 tokens times layers.
var model = &topo.Model{
	Layers: 10, LayerMegabytes: 10, TokenMegabytes: 0.01, Step: time.Millisecond, Stride: 1,
	Cards:       map[string]topo.Card{"Fast": {Megabytes: 100, Pace: 1, ReadPace: 1}, "Slow": {Megabytes: 100, Pace: 5, ReadPace: 5}},
	UsualPrompt: 10, UsualAnswer: 10,
}

// Guards against chains with missing layers, with the same target twice or with
// draining or full targets, and against prompts that cross data centres without
// need.
func TestChoose(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		var candidates []chain.Candidate
		return func(l script.Line) []string {
			switch l.Name {
			case "target":
				held := l.Ints("held")
				c := chain.Candidate{
					Target: topo.Target{
						ID: l.Text("id"), DataCentre: l.Text("dc"), Card: l.Text("card"), Slots: l.Int("slots"),
						Held: topo.Layers{From: held[0], To: held[1]},
					},
					Load:       chain.Load{TokenLayers: float64(l.Int("used")), Running: l.Int("running"), First: l.Int("first")},
					SlowFactor: float64(l.Int("slow")), NotFirst: l.Bool("notfirst"), PausedFor: l.Duration("paused"),
				}
				if l.Bool("draining") {
					c.State = topo.Draining
				}
				if c.Address = l.Text("address"); c.Address == "" {
					c.Address = c.ID + ":80"
				}
				candidates = append(candidates, c)
				return nil
			case "choose":
				req := chain.Request{
					Tokens: l.Int("tokens"), DataCentre: l.Text("dc"), PrevDataCentre: l.Text("after"), Cross: 100 * time.Millisecond,
					Confined: l.Bool("confined"),
					Layers:   topo.Layers{To: model.Layers}, Forced: l.Bool("forced"), Excluded: map[string]bool{l.Text("used"): true},
				}
				if dc := l.Text("crossing"); dc != "" {
					req.Crossings = map[string]chain.Crossing{dc: {Cost: l.Duration("cost"), Closed: l.Bool("closed")}}
				}
				if r := l.Ints("layers"); r != nil {
					req.Layers = topo.Layers{From: r[0], To: r[1]}
				}
				return []string{show(chain.Choose(model, candidates, req))}
			}
			t.Fatalf("unknown input %q", l.Name)
			return nil
		}
	})
}

func show(hops []chain.Hop, err error) string {
	if err != nil {
		f := fault.As(err)
		if f.RetryAfter > 0 {
			return fmt.Sprintf("%s %s", f.Code, f.RetryAfter)
		}
		return string(f.Code)
	}
	parts := make([]string, len(hops))
	for i, h := range hops {
		parts[i] = fmt.Sprintf("%s=%d-%d", h.Target.ID, h.Layers.From, h.Layers.To)
	}
	return strings.Join(parts, " ")
}

// Guards against room that is counted where it cannot be used: at layers that other
// layers' memory does not match, at targets that take nothing, and without all layers.
func TestRooms(t *testing.T) {
	is := is.New(t)
	target := func(id, dc string, from, to int, used float64) chain.Candidate {
		return chain.Candidate{
			Target: topo.Target{ID: id, Address: id, DataCentre: dc, Card: "Fast", Held: topo.Layers{From: from, To: to}}, Load: chain.Load{TokenLayers: used, Running: 1},
		}
	}
	draining, paused := target("e", "y", 0, 5, 0), target("f", "y", 0, 5, 0)
	draining.State, paused.PausedFor = topo.Draining, time.Second
	rooms := chain.Rooms(model, []chain.Candidate{
		target("a", "x", 0, 5, 0), target("b", "x", 5, 10, 4500), target("c", "x", 5, 10, 4600), target("d", "y", 5, 10, 0), draining, paused,
	})
	x, y := rooms["x"], rooms["y"]
	is.Equal(x.Ready, 3)
	is.True(x.Complete)
	is.Equal(x.Free, (0.92*5000-4500)/20/5) // b has room for one request and c for none
	is.Equal(y.Ready, 1)
	is.True(!y.Complete)
	is.Equal(y.Free, 0.0)
}

// Guards against estimates that miss a growing queue of prompts: the more
// requests generate tokens, the less of each step is left for prompts.
func TestThroughputFallsShortOfPrompts(t *testing.T) {
	is := is.New(t)
	m := &topo.Model{
		Layers: 80, Step: time.Millisecond, StepPerRequest: 7 * time.Microsecond, StepPerThousand: 10 * time.Microsecond,
		Stride: 3, Chunk: 512, ReadPerSecond: 105000, UsualPrompt: 774, UsualAnswer: 203,
		Cards: map[string]topo.Card{"Mid": {Pace: 5.6, ReadPace: 2.7}},
	}
	stages := []chain.Stage{{Card: "Mid", Layers: 40}, {Card: "Mid", Layers: 40}}
	few, many := chain.Throughput(m, stages, 20), chain.Throughput(m, stages, 300)
	is.True(few.PromptShare < 1)
	is.True(many.PromptShare > 1)
	is.True(many.Rate > few.Rate)                   // token generation alone would still scale
	is.True(many.EventInterval > few.EventInterval) // and events come more slowly
	slow := chain.Throughput(m, []chain.Stage{{Card: "Mid", Layers: 40, SlowFactor: 3}, {Card: "Mid", Layers: 40}}, 20)
	is.True(slow.Rate < few.Rate)
}

// Guards against prompts that queue behind others for longer than MaxPromptWait
// although another target is free, and against counting prompts that have
// already been read.
func TestPromptsInTime(t *testing.T) {
	is := is.New(t)
	m := &topo.Model{
		Layers: 80, LayerMegabytes: 1, TokenMegabytes: 0.0001, Step: time.Millisecond, Stride: 3, Chunk: 512, ReadPerSecond: 100000,
		UsualPrompt: 774, UsualAnswer: 203, Cards: map[string]topo.Card{"Mid": {Megabytes: 1000, Pace: 1, ReadPace: 2}},
	}
	candidate := func(id string, unread, running int) chain.Candidate {
		return chain.Candidate{
			Target: topo.Target{ID: id, Address: id + ":80", DataCentre: "x", Card: "Mid", Held: topo.Layers{To: 80}},
			Load:   chain.Load{Unread: unread, Running: running},
		}
	}
	req := chain.Request{Tokens: 977, DataCentre: "x", Layers: topo.Layers{To: 80}, MaxPromptWait: 250 * time.Millisecond}
	// 20 us for each token: 11,000 take 220 ms and more, 13,000 at least 260 ms.
	free, full := candidate("free", 5000, 50), candidate("full", 13000, 0)
	is.Equal(show(chain.Choose(m, []chain.Candidate{full, free}, req)), "free=0-80")
	is.Equal(show(chain.Choose(m, []chain.Candidate{full}, req)), string(fault.Overloaded))
	is.Equal(show(chain.Choose(m, []chain.Candidate{candidate("read", 0, 200)}, req)), "read=0-80")
	slow := candidate("slow", 5000, 10)
	slow.SlowFactor = 3
	is.Equal(show(chain.Choose(m, []chain.Candidate{slow}, req)), string(fault.Overloaded))
	req.Forced = true
	is.Equal(show(chain.Choose(m, []chain.Candidate{full}, req)), "full=0-80")
}

// Guards against a choice that becomes slow with many targets of the same card
// and layers, and against one that misses the least loaded among them.
func TestChooseAmongManyAlike(t *testing.T) {
	is := is.New(t)
	var all []chain.Candidate
	for i := range 600 {
		from := 5 * (i % 2)
		all = append(all, chain.Candidate{
			Target: topo.Target{ID: fmt.Sprintf("t%03d", i), Address: fmt.Sprintf("10.0.0.1:%d", 1+i), DataCentre: "x", Card: "Fast", Held: topo.Layers{From: from, To: from + 5}},
			Load:   chain.Load{TokenLayers: float64(4500 - 5*(i%300)), Running: 3},
		})
	}
	start := time.Now()
	for range 100 {
		is.Equal(show(chain.Choose(model, all, chain.Request{Tokens: 10, DataCentre: "x", Layers: topo.Layers{To: 10}})), "t298=0-5 t299=5-10")
	}
	// A gateway on a tenth of a core chooses chains for ten requests per second.
	is.True(time.Since(start) < 2*time.Second)
}
