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
	// theEntry is the address of the entry on the network.
	theEntry = ""
	version  = "v1"
)

type (
	// node is one target: the state machine of its agent, and its engine.
	node struct {
		target  string
		stage   int
		machine *Session
		kernels map[int]*fengn.Kernel
		// runs are engine requests that have not been answered.
		runs []Decision
		// failing makes the next engine step fail.
		failing bool
	}

	packet struct {
		from, to string
		message  wire.Message
	}

	// world is a chain of three stages, their coordinator and the network.
	world struct {
		t       *rapid.T
		layers  []resrc.LayerRange
		limits  Limits
		network []packet
		// nodes holds the targets that live, in the order of their start. A
		// frozen one lives on after the coordinator has replaced it.
		nodes []*node
		// serial numbers the targets.
		serial int

		plan   Plan
		coord  Coord
		timer  int
		answer []uint32
		want   []uint32
		done   bool
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
		for range rapid.IntRange(0, 200).Draw(t, "actions") {
			w.act(rapid.IntRange(0, 99).Draw(t, "action"))
		}
		w.settle()
		if !w.done || len(w.want) != len(w.answer) {
			t.Fatalf("done %t with %d tokens, want %d", w.done, len(w.answer), len(w.want))
		}
	})
}

// Guards the recovery time: while links lose nothing, a request needs no timer
// and no redial, and one attempt for each loss of a stage, or two where a log
// is too short.
func TestChainNeedsNoTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		attempts := 1
		for range rapid.IntRange(0, 200).Draw(t, "actions") {
			action := rapid.IntRange(0, 99).Draw(t, "action")
			if action >= 85 && action < 97 {
				continue
			}
			if action >= 97 && !w.done {
				attempts += 4
			}
			w.act(action)
		}
		w.drain()
		if !w.done || w.coord.Attempt() > attempts {
			t.Fatalf("done %t after %d attempts, want %d", w.done, w.coord.Attempt(), attempts)
		}
	})
}

// act does one random thing; deliveries and runs are the most frequent.
func (w *world) act(action int) {
	n := w.nodes[w.draw(len(w.nodes))]
	switch {
	case action < 60:
		w.deliver(w.pick(), true)
	case action < 85:
		if len(n.runs) > 0 {
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
	case action < 95:
		n.failing = true
	case action < 96:
		w.event(Fired{Timer: w.timer})
	case action < 97:
		// The coordinator takes a frozen target for dead.
		w.event(LinkLost{Target: n.target})
	case action < 99:
		w.crash(n)
	default:
		w.crash(w.nodes[0])
		w.crash(w.nodes[len(w.nodes)-1])
	}
}

// settle stops the faults and lets the request end. The stall timer of the
// coordinator fires when a redial did not help.
func (w *world) settle() {
	for _, n := range w.nodes {
		n.failing = false
	}
	for round := range 200 {
		w.drain()
		if w.done {
			return
		}
		if round%2 == 0 {
			w.redial()
		} else {
			w.event(Fired{Timer: w.timer})
		}
	}
}

// drain delivers and runs all that is under way.
func (w *world) drain() {
	for busy := true; busy; {
		busy = len(w.network) > 0
		for len(w.network) > 0 {
			w.deliver(0, true)
		}
		for _, n := range w.nodes {
			busy = w.answerRun(n, 0) || busy
		}
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
	if p.to == theEntry {
		w.event(Received{Target: p.from, Message: p.message})
		return
	}
	n, ok := w.node(p.to)
	if !ok {
		return
	}
	x := n.machine
	switch m := p.message.(type) {
	case wire.Open:
		w.carryOut(n, p.from, x.Open(m))
	case wire.Start:
		w.carryOut(n, p.from, x.Start(m))
	case wire.Step:
		w.carryOut(n, p.from, x.Step(m))
	case wire.Token:
		w.carryOut(n, p.from, x.Token(m))
	case wire.Resync:
		w.carryOut(n, p.from, x.Resync(m))
	case wire.Stale:
		w.carryOut(n, p.from, x.SuccessorStale(m))
	case wire.Cancel:
		w.carryOut(n, p.from, x.Cancel(m.Attempt))
	}
}

func (w *world) carryOut(n *node, from string, decisions []Decision) {
	send := func(to string, m wire.Message) { w.network = append(w.network, packet{n.target, to, m}) }
	for _, d := range decisions {
		switch d := d.(type) {
		case OpenEngine, Run, Truncate:
			n.runs = append(n.runs, d)
		case SendOpened:
			send(theEntry, d.Opened)
		case SendFailed:
			send(theEntry, d.Failed)
		case SendRefused:
			send(theEntry, d.Refused)
		case SendStep:
			send(n.machine.Chain()[n.stage+1].Target, d.Step)
		case SendToken:
			if d.Entry {
				send(theEntry, d.Token)
			}
			if d.ToFirst {
				send(n.machine.Chain()[0].Target, d.Token)
			}
		case SendStale:
			send(from, d.Stale)
		case Free:
			// An agent forgets the session; the next Open makes a new one.
			n.machine, n.runs, n.kernels = NewSession(w.limits), nil, map[int]*fengn.Kernel{}
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
	o := n.machine.Request()
	switch d := d.(type) {
	case OpenEngine:
		n.kernels[d.Generation] = fengn.NewKernel(engine.SessionRequest{
			Session: strconv.Itoa(d.Generation), Version: version, Layers: w.layers[n.stage],
			Prompt: o.Prompt, Seed: o.Seed, Sample: n.stage == len(w.layers)-1,
		}, false)
		w.carryOut(n, theEntry, n.machine.EngineOpened(d.Generation, w.cached(n, d.Generation)))
	case Truncate:
		n.kernels[d.Generation].Truncate(d.Position)
		w.carryOut(n, theEntry, n.machine.Truncated(d.Generation))
	case Run:
		if n.failing {
			n.failing = false
			w.carryOut(n, theEntry, n.machine.EngineFailed(d.Generation, "fault"))
			return true
		}
		r, err := n.kernels[d.Generation].Run(engine.StepRequest{Position: d.Position, Count: d.Count, Data: d.Data})
		if err != nil {
			w.t.Fatalf("target %s: %v", n.target, err)
		}
		out := Result{Position: r.Position, Count: r.Count, Data: r.Data}
		for _, s := range r.Tokens {
			out.Tokens = append(out.Tokens, Sampled(s))
		}
		w.carryOut(n, theEntry, n.machine.Ran(d.Generation, out))
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
