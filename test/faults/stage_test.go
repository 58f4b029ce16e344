//go:build faults

package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fengn"
)

// recoveryBound is the longest acceptable gap in an answer that lost a stage: the
// heartbeat timeout of 1 s, 250 ms to relink, and 750 ms to open the replacement
// and rebuild its state.
const recoveryBound = 2 * time.Second

type stageFault struct {
	name string
	// stages fail at the same time.
	stages []int
	// frozen pauses the process instead of killing it.
	frozen bool
	// engine makes the engine fail instead of the agent.
	engine bool
}

// Guards against an answer that is cut, wrong or slow when stages fail in the
// middle of it, and against positions that run again on the remaining stages.
func TestStageLost(t *testing.T) {
	seed := uint64(7)
	for _, f := range []stageFault{
		{name: "FirstKilled", stages: []int{0}},
		{name: "MiddleKilled", stages: []int{1}},
		{name: "LastKilled", stages: []int{2}},
		{name: "MiddleFrozen", stages: []int{1}, frozen: true},
		{name: "EngineKilled", stages: []int{1}, engine: true},
		{name: "TwoKilled", stages: []int{1, 2}},
		{name: "FirstAndLastFrozen", stages: []int{0, 2}, frozen: true},
	} {
		t.Run(f.name, func(t *testing.T) { testStageLost(t, f, seed) })
	}
}

func testStageLost(t *testing.T, f stageFault, seed uint64) {
	is := is.New(t)
	const answers = 24
	c := newCluster(t, clusterConfig{entries: 1, stages: 3, replicas: 2, endless: true, cost: "5ms/20us"})
	random := rand.New(rand.NewPCG(seed, 0))
	t.Logf("seed %d", seed)
	got := make([]*answer, answers)
	var wg sync.WaitGroup
	for i := range answers {
		r := request{prompt: fmt.Sprintf("summarise roll %d of %d", i, random.Uint32()), tokens: 120, seed: random.Uint64() >> 1}
		wg.Go(func() { got[i] = c.sendCompletion(0, r) })
	}
	time.Sleep(700 * time.Millisecond)
	var victims []*node
	for _, stage := range f.stages {
		victims = append(victims, c.busiest(stage))
	}
	for _, n := range victims {
		c.injectStageFault(n, f)
	}
	wg.Wait()
	var gaps []time.Duration
	for i, a := range got {
		if !a.matchesReference(true) {
			t.Errorf("answer %d is incomplete or wrong: %v; wrong: %v", i, a.problem(), a.wrong(true))
		}
		gaps = append(gaps, a.longestGap())
	}
	t.Logf("answers %d, longest gap per answer: p50 %v, p95 %v, max %v", answers, quantile(gaps, 0.5), quantile(gaps, 0.95), quantile(gaps, 1))
	is.True(quantile(gaps, 1) <= recoveryBound) // recovery within the bound
	c.checkLayerRuns(f, victims)
}

// busiest returns the agent of a stage whose engine has run the most positions,
// so that the fault affects running answers.
func (c *cluster) busiest(stage int) *node {
	c.t.Helper()
	var most *node
	positions := 0
	for _, a := range c.agentsOf(stage) {
		var s fengn.Stats
		c.getJSON(a.standinURL+"/stats", &s)
		if s.Positions > positions {
			most, positions = a, s.Positions
		}
	}
	if most == nil {
		c.t.Fatalf("no engine of stage %d has run", stage)
	}
	return most
}

func (c *cluster) injectStageFault(n *node, f stageFault) {
	p := n.proc
	if f.engine {
		p = n.standin
	}
	if f.frozen {
		p.freeze()
		return
	}
	p.kill()
}

// checkLayerRuns fails the test if an engine ran a position of a session twice.
func (c *cluster) checkLayerRuns(f stageFault, victims []*node) {
	c.t.Helper()
	for _, a := range c.agents {
		if f.engine && slices.Contains(victims, a) {
			continue
		}
		var s fengn.Stats
		c.getJSON(a.standinURL+"/stats", &s)
		for id, runs := range s.Runs {
			for position, n := range runs {
				if n > 1 {
					c.t.Errorf("%s ran position %d of session %s %d times", a.target, position, id, n)
				}
			}
		}
	}
}
