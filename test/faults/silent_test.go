//go:build faults

package faults

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Guards against answers and calls that hang when all open connections of a kind
// stop passing data for good while new connections work.
func TestSilentConnections(t *testing.T) {
	for _, kind := range []string{"EntryToAgents", "AgentToAgent", "All"} {
		t.Run(kind, func(t *testing.T) { testSilentConnections(t, kind) })
	}
}

func testSilentConnections(t *testing.T, kind string) {
	const answers = 16
	c := newCluster(t, clusterConfig{entries: 1, stages: 3, replicas: 1, services: 1, endless: true, relayed: true, cost: "5ms/20us"})
	got := make([]*answer, answers)
	calls := make([]callReply, answers)
	c.setFaults(c.agentsOf(-1)[0].standinURL, map[string]any{"AfterDelay": time.Second})
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			got[i] = c.sendCompletion(0, request{prompt: fmt.Sprintf("batch %d", i), tokens: 120, seed: uint64(i)})
		})
	}
	time.Sleep(400 * time.Millisecond)
	for i := range answers {
		wg.Go(func() { calls[i] = c.sendCall(0, "POST", "/transfers", "", fmt.Sprintf("transfer-%d", i)) })
	}
	time.Sleep(300 * time.Millisecond)
	// A relay is in front of the process that accepts the links. Agents accept
	// the links of the entry and of the neighbouring stage; the entry accepts
	// none here.
	for _, a := range c.agents {
		if kind == "EntryToAgents" && a.stage > 0 {
			continue
		}
		a.relay.Silence()
	}
	wg.Wait()
	var gaps []time.Duration
	for i, a := range got {
		if !a.matchesReference(true) {
			t.Errorf("answer %d is incomplete or wrong: %v", i, a.problem())
		}
		gaps = append(gaps, a.longestGap())
	}
	t.Logf("longest gap per answer: p50 %v, p95 %v, max %v", quantile(gaps, 0.5), quantile(gaps, 0.95), quantile(gaps, 1))
	if worst := quantile(gaps, 1); worst > recoveryBound {
		t.Errorf("longest gap %v; allowed: %v", worst, recoveryBound)
	}
	c.checkEffects("transfer", calls)
}

// checkEffects compares the reply to each call with its effects at the service.
func (c *cluster) checkEffects(prefix string, calls []callReply) {
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
