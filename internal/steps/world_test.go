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

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, layers: []resrc.LayerRange{{From: 0, To: 2}, {From: 2, To: 3}, {From: 3, To: 6}},
		plan: Plan{
			Request: "r", Version: version, MaxRefusals: 1000, MaxAttempts: 1000,
			Prompt:    rapid.SliceOfN(rapid.Uint32Range(1, 300), 1, 20).Draw(t, "prompt"),
			MaxTokens: rapid.IntRange(1, 30).Draw(t, "max"), Seed: rapid.Uint64().Draw(t, "seed"),
		},
		limits: Limits{
			LogBytes:      rapid.SampledFrom([]int{48, 1 << 20}).Draw(t, "log"),
			HoldPositions: 1000, ChunkPositions: rapid.IntRange(1, 8).Draw(t, "chunk"),
		},
	}
	w.want = fengn.Reference(version, "", 6, w.plan.Prompt, w.plan.MaxTokens, w.plan.Seed)
	var actions []Action
	w.coord, actions = NewCoord(w.plan)
	w.do(actions)
	return w
}

func (w *world) node(target string) (*node, bool) {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.target == target })
	if i < 0 {
		return nil, false
	}
	return w.nodes[i], true
}

func (w *world) startNode(stage int) string {
	w.serial++
	n := &node{target: strconv.Itoa(w.serial), stage: stage, machine: NewSession(w.limits), kernels: map[int]*fengn.Kernel{}}
	w.nodes = append(w.nodes, n)
	return n.target
}

// crash ends a target. Its packets stay on the network. One stage must live
// for the actions that pick a target.
func (w *world) crash(n *node) {
	if len(w.nodes) > 1 {
		w.nodes = slices.DeleteFunc(w.nodes, func(other *node) bool { return other == n })
	}
	w.event(LinkLost{Target: n.target})
}

// redial repeats on every link what may have been lost.
func (w *world) redial() {
	for _, n := range w.nodes {
		w.carryOut(n, theEntry, n.machine.SuccessorUp())
		w.carryOut(n, theEntry, n.machine.EntryUp())
		w.event(Relinked{Target: n.target})
	}
}

// cached gives a new engine session a prefix of the prompt, as if another
// request had run it before. The log of the stage does not hold its outputs.
func (w *world) cached(n *node, generation int) int {
	p := w.plan.Prompt
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
			k = fengn.NewKernel(engine.SessionRequest{Version: version, Layers: w.layers[stage], Prompt: p, Seed: w.plan.Seed}, false)
		}
		r, err := k.Run(engine.StepRequest{Count: hit, Data: data})
		if err != nil {
			w.t.Fatal(err)
		}
		data = r.Data
	}
	return hit
}

// event gives an event to the coordinator of the entry.
func (w *world) event(ev Event) {
	var actions []Action
	w.coord, actions = w.coord.Next(ev)
	w.do(actions)
}

func (w *world) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Choose:
			w.event(Chosen{Chain: w.choose(a)})
		case Send:
			w.network = append(w.network, packet{theEntry, a.Stage.Target, a.Message})
		case Emit:
			if at := len(w.answer); at >= len(w.want) || w.want[at] != a.Value {
				w.t.Fatalf("token %d is %d, want %v", at, a.Value, w.want)
			}
			w.answer = append(w.answer, a.Value)
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

// choose keeps the survivors and starts a target for each other stage.
func (w *world) choose(c Choose) []wire.Stage {
	chain := make([]wire.Stage, len(w.layers))
	for i, l := range w.layers {
		chain[i].Layers = l
		if i < len(c.Chain) && !c.Dead[c.Chain[i].Target] && !c.Exclude[c.Chain[i].Target] {
			chain[i].Target = c.Chain[i].Target
			continue
		}
		chain[i].Target = w.startNode(i)
	}
	return chain
}
