package steps

import (
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	toEntry = -1
	version = "v1"
)

type (
	// node is one stage with the engine beside it.
	node struct {
		machine *Session
		kernels map[int]*fengn.Kernel
		// runs are engine requests that have not been answered.
		runs []Decision
		// failing makes the next engine step fail.
		failing bool
	}

	packet struct {
		// link numbers the connection; a crash begins new ones.
		from, to int
		message  wire.Message
	}

	// world is a chain of three stages, its coordinator and its network.
	world struct {
		t       *rapid.T
		nodes   []*node
		layers  []resrc.LayerRange
		network []packet
		limits  Limits
		prompt  []uint32
		max     int
		seed    uint64

		attempt int
		fresh   bool
		opened  map[int]wire.Opened
		started []wire.Start
		answer  []uint32
		early   map[int]wire.Token
		done    bool
		// runs counts the positions run on all kernels.
		runs int
	}
)

// TestMain raises the number of random chains: some faults show in one of a
// thousand only.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("2000")
	}
	os.Exit(m.Run())
}

// Guards P1 and P2: with loss, repetition, reordering, crashes and frozen
// stages that wake up, the answer equals the reference, no engine session
// runs a position twice, and the request ends once faults stop.
func TestChainMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.begin(false)
		for range rapid.IntRange(0, 200).Draw(t, "actions") {
			w.act(rapid.IntRange(0, 99).Draw(t, "action"))
		}
		w.settle()
		want := fengn.Reference(version, "", 6, w.prompt, w.max, w.seed)
		if !w.done || len(want) != len(w.answer) {
			t.Fatalf("done %t with %d tokens, want %d", w.done, len(w.answer), len(want))
		}
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, layers: []resrc.LayerRange{{From: 0, To: 2}, {From: 2, To: 3}, {From: 3, To: 6}},
		prompt: rapid.SliceOfN(rapid.Uint32Range(1, 300), 1, 20).Draw(t, "prompt"),
		max:    rapid.IntRange(1, 30).Draw(t, "max"), seed: rapid.Uint64().Draw(t, "seed"),
		limits: Limits{
			LogBytes:      rapid.SampledFrom([]int{300, 1 << 20}).Draw(t, "log"),
			HoldPositions: 1000, ChunkPositions: rapid.IntRange(1, 8).Draw(t, "chunk"),
		},
		early: map[int]wire.Token{},
	}
	for range w.layers {
		w.nodes = append(w.nodes, w.newNode())
	}
	return w
}

func (w *world) newNode() *node {
	return &node{machine: NewSession(w.limits), kernels: map[int]*fengn.Kernel{}}
}

// act does one random thing; deliveries and runs are the most frequent.
func (w *world) act(action int) {
	switch {
	case action < 60:
		w.deliver(w.pick(), true)
	case action < 85:
		if n := w.nodes[w.draw(len(w.nodes))]; len(n.runs) > 0 {
			w.answerRun(n, w.draw(len(n.runs)))
		}
	case action < 89:
		if i := w.pick(); i >= 0 {
			w.network = append(w.network[:i], w.network[i+1:]...)
		}
	case action < 92:
		w.deliver(w.pick(), false)
	case action < 94:
		w.redial()
	case action < 96:
		w.nodes[w.draw(len(w.nodes))].failing = true
	case action < 98:
		w.crash(w.draw(len(w.nodes)))
	case action < 99:
		w.crash(0)
		w.crash(2)
	default:
		w.begin(true)
	}
}

// settle stops the faults and lets the request end.
func (w *world) settle() {
	for _, n := range w.nodes {
		n.failing = false
	}
	for range 200 {
		for len(w.network) > 0 {
			w.deliver(0, true)
		}
		idle := true
		for _, n := range w.nodes {
			idle = !w.answerRun(n, 0) && idle
		}
		if !idle || len(w.network) > 0 {
			continue
		}
		if w.done {
			return
		}
		w.redial()
	}
}

func (w *world) draw(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

func (w *world) pick() int {
	if len(w.network) == 0 {
		return -1
	}
	return w.draw(len(w.network))
}

// deliver takes packet i; a packet that is kept will be delivered again.
func (w *world) deliver(i int, remove bool) {
	if i < 0 {
		return
	}
	p := w.network[i]
	if remove {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	if p.to == toEntry {
		w.receive(p.message)
		return
	}
	x := w.nodes[p.to].machine
	switch m := p.message.(type) {
	case wire.Open:
		w.carryOut(p, x.Open(m))
	case wire.Start:
		w.carryOut(p, x.Start(m))
	case wire.Step:
		w.carryOut(p, x.Step(m))
	case wire.Token:
		w.carryOut(p, x.Token(m))
	case wire.Resync:
		w.carryOut(p, x.Resync(m))
	case wire.Stale:
		w.carryOut(p, x.SuccessorStale(m))
	}
}

func (w *world) carryOut(p packet, decisions []Decision) {
	n := w.nodes[p.to]
	send := func(to int, m wire.Message) { w.network = append(w.network, packet{p.to, to, m}) }
	for _, d := range decisions {
		switch d := d.(type) {
		case OpenEngine, Run, Truncate:
			n.runs = append(n.runs, d)
		case SendOpened:
			send(toEntry, d.Opened)
		case SendFailed:
			send(toEntry, d.Failed)
		case SendRefused:
			send(toEntry, d.Refused)
		case SendStep:
			send(p.to+1, d.Step)
		case SendToken:
			if d.Entry {
				send(toEntry, d.Token)
			}
			if d.ToFirst {
				send(0, d.Token)
			}
		case SendStale:
			if p.from != toEntry {
				send(p.from, d.Stale)
			}
		case Free:
			w.crash(p.to)
		case CloseEngine:
		}
	}
}

// answerRun lets the engine answer request i, or the oldest one of the same
// engine session: sessions are independent of each other.
func (w *world) answerRun(n *node, i int) bool {
	if len(n.runs) == 0 {
		return false
	}
	d := n.runs[i]
	i = slices.IndexFunc(n.runs, func(r Decision) bool { return generationOf(r) == generationOf(d) })
	d = n.runs[i]
	n.runs = slices.Delete(n.runs, i, i+1)
	at := packet{to: w.indexOf(n), from: toEntry}
	o := n.machine.Request()
	switch d := d.(type) {
	case OpenEngine:
		n.kernels[d.Generation] = fengn.NewKernel(engine.SessionRequest{
			Session: strconv.Itoa(d.Generation), Version: version, Layers: w.layers[at.to],
			Prompt: o.Prompt, Seed: o.Seed, Sample: at.to == len(w.layers)-1,
		}, false)
		w.carryOut(at, n.machine.EngineOpened(d.Generation, 0))
	case Truncate:
		n.kernels[d.Generation].Truncate(d.Position)
		w.carryOut(at, n.machine.Truncated(d.Generation))
	case Run:
		if n.failing {
			n.failing = false
			w.carryOut(at, n.machine.EngineFailed(d.Generation, "fault"))
			return true
		}
		r, err := n.kernels[d.Generation].Run(engine.StepRequest{Position: d.Position, Count: d.Count, Data: d.Data})
		if err != nil {
			w.t.Fatalf("stage %d: %v", at.to, err)
		}
		w.runs += d.Count
		out := Result{Position: r.Position, Count: r.Count, Data: r.Data}
		for _, s := range r.Tokens {
			out.Tokens = append(out.Tokens, Sampled(s))
		}
		w.carryOut(at, n.machine.Ran(d.Generation, out))
	}
	return true
}

func generationOf(d Decision) int {
	switch d := d.(type) {
	case OpenEngine:
		return d.Generation
	case Truncate:
		return d.Generation
	case Run:
		return d.Generation
	}
	return 0
}

func (w *world) indexOf(n *node) int {
	for i, other := range w.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// crash replaces a stage; its packets stay on the network, as do those of a
// frozen stage that wakes up.
func (w *world) crash(i int) {
	w.nodes[i] = w.newNode()
	w.begin(false)
}
