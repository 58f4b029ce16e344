package steps

import (
	"encoding/binary"
	"slices"
	"strconv"

	"pgregory.net/rapid"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, layers: []resrc.LayerRange{{From: 0, To: 2}, {From: 2, To: 3}, {From: 3, To: 6}},
		params: Params{
			Request: "r", Version: version, MaxRefusals: 1000, MaxAttempts: 1000,
			Prompt:    rapid.SliceOfN(rapid.Uint32Range(1, 300), 1, 20).Draw(t, "prompt"),
			MaxTokens: rapid.IntRange(1, 30).Draw(t, "max"), Seed: rapid.Uint64().Draw(t, "seed"),
		},
		limits: Limits{
			LogBytes:      rapid.SampledFrom([]int{48, 1 << 20}).Draw(t, "log"),
			HoldPositions: 1000, ChunkPositions: rapid.IntRange(1, 8).Draw(t, "chunk"),
		},
	}
	w.want = fengn.Reference(version, "", 6, w.params.Prompt, w.params.MaxTokens, w.params.Seed)
	var actions []Action
	w.coordinator, actions = NewCoordinator(w.params)
	w.executeActions(actions)
	return w
}

func (w *simulation) node(target string) (*node, bool) {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.target == target })
	if i < 0 {
		return nil, false
	}
	return w.nodes[i], true
}

func (w *simulation) startNode(stage int) string {
	w.targetCount++
	n := &node{target: strconv.Itoa(w.targetCount), stage: stage, session: NewSession(w.limits), kernels: map[int]*fengn.Kernel{}}
	w.nodes = append(w.nodes, n)
	return n.target
}

// crash ends a target. Its packets stay on the network. The last target is kept
// running, since random actions need one, but the coordinator treats it as lost.
func (w *simulation) crash(n *node) {
	if len(w.nodes) > 1 {
		w.nodes = slices.DeleteFunc(w.nodes, func(other *node) bool { return other == n })
	}
	w.handleEvent(LinkLost{Target: n.target})
}

// reconnect reports to all nodes and to the coordinator that their links have been
// re-established, so that they send again what may have been lost.
func (w *simulation) reconnect() {
	for _, n := range w.nodes {
		w.execute(n, entryAddress, n.session.SuccessorRelinked())
		w.execute(n, entryAddress, n.session.EntryRelinked())
		w.handleEvent(Relinked{Target: n.target})
	}
}

// runCachedPrefix runs a random prefix of the prompt in a new engine session, as
// if the engine had cached it for another request, and returns its length. The
// log of the stage does not contain its outputs.
func (w *simulation) runCachedPrefix(n *node, generation int) int {
	p := w.params.Prompt
	hit := rapid.IntRange(0, len(p)-1).Draw(w.t, "cached")
	if hit == 0 {
		return 0
	}
	var data []byte
	for _, v := range p[:hit] {
		data = binary.LittleEndian.AppendUint32(data, v)
	}
	for stage := range n.stage + 1 {
		k := n.kernels[generation]
		if stage < n.stage {
			k = fengn.NewKernel(engine.SessionRequest{Version: version, Layers: w.layers[stage], Prompt: p, Seed: w.params.Seed}, false)
		}
		r, err := k.Run(engine.StepRequest{Count: hit, Data: data})
		if err != nil {
			w.t.Fatal(err)
		}
		data = r.Data
	}
	return hit
}

// handleEvent passes an event to the coordinator.
func (w *simulation) handleEvent(ev Event) {
	var actions []Action
	w.coordinator, actions = w.coordinator.Next(ev)
	w.executeActions(actions)
}

func (w *simulation) executeActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ChooseChain:
			w.handleEvent(ChainChosen{Chain: w.choose(a)})
		case SendMessage:
			w.network = append(w.network, packet{entryAddress, a.Stage.Target, a.Message})
		case Emit:
			if at := len(w.answer); at >= len(w.want) || w.want[at] != a.Value {
				w.t.Fatalf("token %d is %d, want %v", at, a.Value, w.want)
			}
			w.answer = append(w.answer, a.Value)
		case SetTimer:
			w.timer = a.Timer
		case EndRequest:
			if a.Failure != nil {
				w.t.Fatalf("request failed: %v", a.Failure)
			}
			w.done = true
		}
	}
}

// choose keeps the remaining stages of the chain and starts a target for each
// other one.
func (w *simulation) choose(c ChooseChain) []wire.Stage {
	chain := make([]wire.Stage, len(w.layers))
	for i, l := range w.layers {
		chain[i].Layers = l
		if i < len(c.Chain) && !c.Lost[c.Chain[i].Target] && !c.Exclude[c.Chain[i].Target] {
			chain[i].Target = c.Chain[i].Target
			continue
		}
		chain[i].Target = w.startNode(i)
	}
	return chain
}
