package steps

import (
	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/wire"
)

// begin starts an attempt with the nodes that are there now.
func (w *world) begin(fresh bool) {
	if w.done {
		return
	}
	w.attempt++
	w.fresh = fresh
	w.opened = map[int]wire.Opened{}
	w.started = nil
	for i := range w.nodes {
		w.sendOpen(i)
	}
}

func (w *world) sendOpen(i int) {
	chain := make([]wire.Stage, len(w.layers))
	for j, l := range w.layers {
		chain[j].Layers = l
	}
	w.network = append(w.network, packet{toEntry, i, wire.Open{
		Request: "r", Attempt: w.attempt, Index: i, Chain: chain, Version: version,
		Prompt: w.prompt, MaxTokens: w.max, Seed: w.seed, Fresh: w.fresh,
	}})
}

// redial repeats on every link what may have been lost.
func (w *world) redial() {
	if w.done {
		return
	}
	for i, n := range w.nodes {
		w.carryOut(packet{from: toEntry, to: i}, n.machine.SuccessorUp())
		w.carryOut(packet{from: toEntry, to: i}, n.machine.EntryUp())
		switch {
		case w.started != nil:
			w.network = append(w.network, packet{toEntry, i, w.started[i]})
		default:
			if _, ok := w.opened[i]; !ok {
				w.sendOpen(i)
			}
		}
	}
	if w.started != nil {
		last := len(w.nodes) - 1
		w.network = append(w.network, packet{toEntry, last, wire.Resync{Request: "r", Attempt: w.attempt, Next: w.next()}})
	}
}

func (w *world) next() int { return len(w.prompt) + len(w.answer) }

// receive is the entry.
func (w *world) receive(m wire.Message) {
	if w.done {
		return
	}
	switch m := m.(type) {
	case wire.Opened:
		if m.Attempt == w.attempt && w.started == nil {
			w.opened[m.Index] = m
			w.start()
		}
	case wire.Refused:
		if m.Attempt == w.attempt {
			w.begin(false)
		}
	case wire.StageFailed:
		if m.Attempt == w.attempt {
			w.crash(m.Index)
		}
	case wire.Token:
		if m.Attempt == w.attempt {
			w.early[m.Position] = m
			w.emit()
		}
	}
}

func (w *world) emit() {
	want := fengn.Reference(version, "", 6, w.prompt, w.max, w.seed)
	for t, ok := w.early[w.next()]; ok && !w.done; t, ok = w.early[w.next()] {
		if t.Value != want[len(w.answer)] {
			w.t.Fatalf("token %d is %d, want %d", len(w.answer), t.Value, want[len(w.answer)])
		}
		w.answer = append(w.answer, t.Value)
		w.done = t.End || len(w.answer) == w.max
	}
}

// start sends Start once every stage has opened.
func (w *world) start() {
	if len(w.opened) < len(w.nodes) {
		return
	}
	cursors := make([]int, len(w.nodes))
	for i := range w.nodes {
		cursors[i] = w.opened[i].Next
	}
	known := append(append([]uint32(nil), w.prompt...), w.answer...)
	last := len(cursors) - 1
	reach := cursors[0] <= len(known) || w.opened[last].LogFrom < len(known)
	for i := 1; i < len(cursors); i++ {
		reach = reach && w.opened[i-1].LogFrom <= cursors[i]
	}
	// The tokens from Emitted on come from the last stage's log, or are
	// sampled again.
	reach = reach && (cursors[last] < len(known) || w.opened[last].LogFrom <= len(known)-1)
	if !reach {
		w.begin(true)
		return
	}
	for i := range w.nodes {
		s := wire.Start{Request: "r", Attempt: w.attempt, Cursors: cursors, Emitted: len(known)}
		if i == 0 && cursors[0] < len(known) {
			s.Tokens = known[cursors[0]:]
		}
		w.started = append(w.started, s)
		w.network = append(w.network, packet{toEntry, i, s})
	}
}
