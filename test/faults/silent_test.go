//go:build faults

package faults

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Guards against answers and calls that hang when every open connection of a
// kind goes silent for good while new connections work.
func TestSilentConnections(t *testing.T) {
	for _, kind := range []string{"EntryToAgents", "AgentToAgent", "All"} {
		t.Run(kind, func(t *testing.T) { testSilent(t, kind) })
	}
}

func testSilent(t *testing.T, kind string) {
	const answers = 16
	c := newCluster(t, plan{entries: 1, stages: 3, replicas: 1, services: 1, endless: true, relayed: true, cost: "5ms/20us"})
	got := make([]*answer, answers)
	calls := make([]reply, answers)
	c.faults(c.agentsOf(-1)[0].standinURL, map[string]any{"AfterDelay": time.Second})
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			got[i] = c.complete(0, request{prompt: fmt.Sprintf("batch %d", i), tokens: 120, seed: uint64(i)})
		})
	}
	time.Sleep(400 * time.Millisecond)
	for i := range answers {
		wg.Go(func() { calls[i] = c.call(0, "POST", "/transfers", "", fmt.Sprintf("transfer-%d", i)) })
	}
	time.Sleep(300 * time.Millisecond)
	// The relay stands in front of the accepting side: agents accept both the
	// entry's link and their neighbour's, entries accept nothing here.
	for _, a := range c.agents {
		if kind == "EntryToAgents" && a.stage > 0 {
			continue
		}
		a.relay.Silence()
	}
	wg.Wait()
	var gaps []time.Duration
	for i, a := range got {
		if !a.whole(true) {
			t.Errorf("answer %d is not whole: %v", i, a.problem())
		}
		gaps = append(gaps, a.longestGap())
	}
	t.Logf("longest gap per answer: p50 %v, p95 %v, max %v", quantile(gaps, 0.5), quantile(gaps, 0.95), quantile(gaps, 1))
	if worst := quantile(gaps, 1); worst > recoveryBound {
		t.Errorf("longest gap %v; allowed: %v", worst, recoveryBound)
	}
	c.checkEffects("transfer", calls)
}

// checkEffects compares what callers were told with what took effect.
func (c *cluster) checkEffects(prefix string, calls []reply) {
	c.t.Helper()
	effects := c.effects()
	var done, notRun, unknown int
	for i, r := range calls {
		n := effects[fmt.Sprintf("%s-%d", prefix, i)]
		if n > 1 {
			c.t.Errorf("call %d took effect %d times", i, n)
		}
		switch {
		case r.err == nil && r.status/100 == 2:
			done++
			if n != 1 {
				c.t.Errorf("call %d answered %d but took effect %d times", i, r.status, n)
			}
		case r.outcome == "NotRun":
			notRun++
			if n != 0 {
				c.t.Errorf("call %d was reported NotRun but took effect %d times", i, n)
			}
		default:
			unknown++
		}
	}
	c.t.Logf("calls %d: done %d, NotRun %d, unknown or cut %d", len(calls), done, notRun, unknown)
}

// effects merges the effect counts of all service targets.
func (c *cluster) effects() map[string]int {
	c.t.Helper()
	all := map[string]int{}
	for _, a := range c.agentsOf(-1) {
		var one map[string]int
		c.getJSON(a.standinURL+"/effects", &one)
		for k, n := range one {
			all[k] += n
		}
	}
	return all
}
