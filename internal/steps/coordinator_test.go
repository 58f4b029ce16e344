package steps

import (
	"slices"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/wire"
)

// begin starts the request with the nodes that are there now.
func (w *world) begin() {
	c, actions := NewCoord(Plan{
		Request: "r", Version: version, Prompt: w.prompt, MaxTokens: w.max, Seed: w.seed,
		MaxRefusals: 1 << 20, MaxAttempts: 1 << 20,
	})
	w.coord = c
	w.perform(actions)
}

// redial tells both ends that every link was lost and is back.
func (w *world) redial() {
	for i, n := range w.nodes {
		w.carryOut(packet{from: toEntry, to: i}, n.machine.SuccessorUp())
		w.carryOut(packet{from: toEntry, to: i}, n.machine.EntryUp())
		w.event(Relinked{Target: w.names[i]})
	}
}

func (w *world) event(ev Event) {
	c, actions := w.coord.Next(ev)
	w.coord = c
	w.perform(actions)
}

func (w *world) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Choose:
			w.choose(a)
		case Send:
			// A message to a target that was replaced is lost.
			if i := slices.Index(w.names, a.Stage.Target); i >= 0 {
				w.network = append(w.network, packet{toEntry, i, a.Message})
			}
		case Emit:
			w.emit(a.Value)
		case Arm:
			w.timer = a.Timer
		case End:
			if a.Failure != nil {
				w.t.Fatalf("request failed: %v", a.Failure)
			}
			w.done = true
		}
	}
}

// choose replaces the dead stages, and those that were refused.
func (w *world) choose(a Choose) {
	chain := make([]wire.Stage, len(w.layers))
	for i, l := range w.layers {
		if a.Dead[w.names[i]] || a.Exclude[w.names[i]] {
			w.replace(i)
		}
		chain[i] = wire.Stage{Target: w.names[i], Layers: l}
	}
	w.event(Chosen{Chain: chain})
}

func (w *world) emit(value uint32) {
	want := fengn.Reference(version, "", 6, w.prompt, w.max, w.seed)
	if n := len(w.answer); n >= len(want) || value != want[n] {
		w.t.Fatalf("token %d is %d, want %v", n, value, want)
	}
	w.answer = append(w.answer, value)
}
