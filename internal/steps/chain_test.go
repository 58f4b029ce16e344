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
	// entryAddress is the address of the entry on the simulated network.
	entryAddress = ""
	version      = "v1"
)

type (
	// node is one target: the Session of its agent, and its engine.
	node struct {
		target  string
		stage   int
		session *Session
		kernels map[int]*fengn.Kernel
		// engineRequests are the engine requests in progress.
		engineRequests []Decision
		// failNextRun makes the next engine step fail.
		failNextRun bool
	}

	packet struct {
		from, to string
		message  wire.Message
	}

	// simulation simulates a chain of three stages, the Coordinator of the entry,
	// and the network between them.
	simulation struct {
		t       *rapid.T
		layers  []resrc.LayerRange
		limits  Limits
		network []packet
		// nodes holds the running targets, in the order of their start. A
		// suspended one stays here after the coordinator has replaced it.
		nodes []*node
		// targetCount is the number of targets started so far. It gives each
		// one its name.
		targetCount int

		params      Params
		coordinator Coordinator
		timer       int
		answer      []uint32
		want        []uint32
		done        bool
	}
)

// TestMain raises the number of random runs, since some faults occur in only one
// of a thousand.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("2000")
	}
	os.Exit(m.Run())
}

// Guards against an engine session that runs a position twice (P1), an answer
// that differs from the reference (P2), and a request that does not end once the
// faults have stopped. Messages are lost, duplicated and reordered, and stages
// crash or are suspended and resume.
func TestChainMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(0, 200).Draw(t, "actions") {
			w.randomAction(rapid.IntRange(0, 99).Draw(t, "action"))
		}
		w.settle()
		if !w.done || len(w.want) != len(w.answer) {
			t.Fatalf("done %t with %d tokens, want %d", w.done, len(w.answer), len(w.want))
		}
	})
}

// Guards against slow recovery: while links lose nothing, a request needs no
// timer and no reconnection, and one attempt for each loss of a stage, or two if
// a log is too short.
func TestChainNeedsNoTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		attempts := 1
		for range rapid.IntRange(0, 200).Draw(t, "actions") {
			action := rapid.IntRange(0, 99).Draw(t, "action")
			if action >= 85 && action < 97 {
				continue
			}
			if action >= 97 && !w.done {
				attempts += 4
			}
			w.randomAction(action)
		}
		w.runToIdle()
		if !w.done || w.coordinator.Attempt() > attempts {
			t.Fatalf("done %t after %d attempts, want %d", w.done, w.coordinator.Attempt(), attempts)
		}
	})
}

// randomAction carries out one random action; deliveries and engine steps are
// the most frequent.
func (w *simulation) randomAction(action int) {
	n := w.nodes[w.randomIndex(len(w.nodes))]
	switch {
	case action < 60:
		w.deliver(w.randomPacket(), true)
	case action < 85:
		if len(n.engineRequests) > 0 {
			w.answerEngineRequest(n, w.randomIndex(len(n.engineRequests)))
		}
	case action < 89:
		if i := w.randomPacket(); i >= 0 {
			w.network = append(w.network[:i], w.network[i+1:]...)
		}
	case action < 92:
		w.deliver(w.randomPacket(), false)
	case action < 94:
		w.reconnect()
	case action < 95:
		n.failNextRun = true
	case action < 96:
		w.handleEvent(TimerFired{Timer: w.timer})
	case action < 97:
		// The target is suspended, and the coordinator treats it as lost.
		w.handleEvent(LinkLost{Target: n.target})
	case action < 99:
		w.crash(n)
	default:
		w.crash(w.nodes[0])
		w.crash(w.nodes[len(w.nodes)-1])
	}
}

// settle stops the faults and lets the request end. If a reconnection does not
// help, the timer of the coordinator fires.
func (w *simulation) settle() {
	for _, n := range w.nodes {
		n.failNextRun = false
	}
	for round := range 200 {
		w.runToIdle()
		if w.done {
			return
		}
		if round%2 == 0 {
			w.reconnect()
		} else {
			w.handleEvent(TimerFired{Timer: w.timer})
		}
	}
}

// runToIdle delivers all messages and answers all engine requests until none is
// left.
func (w *simulation) runToIdle() {
	for busy := true; busy; {
		busy = len(w.network) > 0
		for len(w.network) > 0 {
			w.deliver(0, true)
		}
		for _, n := range w.nodes {
			busy = w.answerEngineRequest(n, 0) || busy
		}
	}
}

func (w *simulation) randomIndex(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

func (w *simulation) randomPacket() int {
	if len(w.network) == 0 {
		return -1
	}
	return w.randomIndex(len(w.network))
}

// deliver delivers packet i. A packet that is not removed is delivered again.
func (w *simulation) deliver(i int, remove bool) {
	if i < 0 {
		return
	}
	p := w.network[i]
	if remove {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	if p.to == entryAddress {
		w.handleEvent(MessageReceived{Target: p.from, Message: p.message})
		return
	}
	n, ok := w.node(p.to)
	if !ok {
		return
	}
	session := n.session
	switch m := p.message.(type) {
	case wire.Open:
		w.execute(n, p.from, session.Open(m))
	case wire.Start:
		w.execute(n, p.from, session.Start(m))
	case wire.Step:
		w.execute(n, p.from, session.Step(m))
	case wire.Token:
		w.execute(n, p.from, session.Token(m))
	case wire.Resync:
		w.execute(n, p.from, session.Resync(m))
	case wire.Stale:
		w.execute(n, p.from, session.SuccessorStale(m))
	case wire.Cancel:
		w.execute(n, p.from, session.Cancel(m.Attempt))
	}
}

func (w *simulation) execute(n *node, from string, decisions []Decision) {
	send := func(to string, m wire.Message) { w.network = append(w.network, packet{n.target, to, m}) }
	for _, d := range decisions {
		switch d := d.(type) {
		case OpenEngine, RunStep, Truncate:
			n.engineRequests = append(n.engineRequests, d)
		case SendOpened:
			send(entryAddress, d.Opened)
		case SendFailed:
			send(entryAddress, d.Failed)
		case SendRefused:
			send(entryAddress, d.Refused)
		case SendStep:
			send(n.session.Chain()[n.stage+1].Target, d.Step)
		case SendToken:
			if d.Entry {
				send(entryAddress, d.Token)
			}
			if d.ToFirst {
				send(n.session.Chain()[0].Target, d.Token)
			}
		case SendStale:
			send(from, d.Stale)
		case DropSession:
			// The agent drops the session; the next Open creates a new one.
			n.session, n.engineRequests, n.kernels = NewSession(w.limits), nil, map[int]*fengn.Kernel{}
		case CloseEngine:
		}
	}
}

// answerEngineRequest lets the engine answer the oldest request of the engine
// session that request i belongs to. Engine sessions are independent of each
// other, but each one answers in order.
func (w *simulation) answerEngineRequest(n *node, i int) bool {
	if len(n.engineRequests) == 0 {
		return false
	}
	d := n.engineRequests[i]
	i = slices.IndexFunc(n.engineRequests, func(r Decision) bool { return generationOf(r) == generationOf(d) })
	d = n.engineRequests[i]
	n.engineRequests = slices.Delete(n.engineRequests, i, i+1)
	o := n.session.Request()
	switch d := d.(type) {
	case OpenEngine:
		n.kernels[d.Generation] = fengn.NewKernel(engine.SessionRequest{
			Session: strconv.Itoa(d.Generation), Version: version, Layers: w.layers[n.stage],
			Prompt: o.Prompt, Seed: o.Seed, Sample: n.stage == len(w.layers)-1,
		}, false)
		w.execute(n, entryAddress, n.session.EngineOpened(d.Generation, w.runCachedPrefix(n, d.Generation)))
	case Truncate:
		n.kernels[d.Generation].Truncate(d.Position)
		w.execute(n, entryAddress, n.session.Truncated(d.Generation))
	case RunStep:
		if n.failNextRun {
			n.failNextRun = false
			w.execute(n, entryAddress, n.session.EngineFailed(d.Generation, "fault"))
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
		w.execute(n, entryAddress, n.session.StepDone(d.Generation, out))
	}
	return true
}

func generationOf(d Decision) int {
	switch d := d.(type) {
	case OpenEngine:
		return d.Generation
	case Truncate:
		return d.Generation
	case RunStep:
		return d.Generation
	}
	return 0
}
