//go:build faults

package faults

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against wrong or cut answers, and against NotRun for a call that took
// effect, when all callers return within one second while two stages fail and
// the table is down.
func TestEverythingAtOnce(t *testing.T) {
	const callers, calls = 300, 100
	c := newCluster(t, clusterConfig{entries: 2, stages: 3, replicas: 2, services: 2, endless: true, cost: "5ms/20us"})
	c.setFaults(c.platformURL, map[string]any{"Outage": true})
	got := make([]*answer, callers)
	replies := make([]callReply, calls)
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / callers)
			got[i] = c.sendCompletion(i%2, request{prompt: fmt.Sprintf("report %d", i), tokens: 60, seed: uint64(i)})
		})
	}
	for i := range calls {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / calls)
			replies[i] = c.sendCall(i%2, "POST", "/lots", "", fmt.Sprintf("lot-%d", i))
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.busiest(1).kill()
	time.Sleep(300 * time.Millisecond)
	c.busiest(2).freeze()
	wg.Wait()
	var complete, refused, failed int
	var first, gaps []time.Duration
	reasons := map[string]int{}
	for i, a := range got {
		switch {
		case a.matchesReference(true):
			complete++
			first = append(first, a.tokenTimes[0].Sub(a.started))
			gaps = append(gaps, a.longestGap())
		case a.outcome == "NotRun" && a.retryAfter != "":
			refused++
			detail, _, _ := strings.Cut(a.failure, `","`)
			reasons[fmt.Sprintf("%v: %s", a.started.Sub(begin).Truncate(250*time.Millisecond), detail)]++
		case a.wrong(true):
			t.Errorf("answer %d is wrong or cut without a failure event: %v", i, a.problem())
		default:
			failed++
		}
	}
	t.Logf("callers %d in one second, all settled after %v: complete %d, refused NotRun %d, failed with an event %d; first token p50 %v, p95 %v; longest gap %v",
		callers, time.Since(begin).Round(time.Millisecond), complete, refused, failed, quantile(first, 0.5), quantile(first, 0.95), quantile(gaps, 1))
	for reason, n := range reasons {
		t.Logf("refused %d times, arrival %s", n, reason)
	}
	if worst := quantile(gaps, 1); worst > recoveryBound {
		t.Errorf("longest gap %v; allowed: %v", worst, recoveryBound)
	}
	if failed > 0 {
		t.Errorf("%d answers failed after they began", failed)
	}
	if complete == 0 {
		t.Error("no answer was complete")
	}
	c.checkEffects("lot", replies)
}
