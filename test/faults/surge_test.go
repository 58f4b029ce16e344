//go:build faults

package faults

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against wrong or cut answers and false NotRun when all callers come
// back in one second while a stage dies and the table is down.
func TestEverythingAtOnce(t *testing.T) {
	const callers, calls = 300, 100
	c := newCluster(t, plan{entries: 2, stages: 3, replicas: 2, services: 2, endless: true, cost: "5ms/20us"})
	c.faults(c.platformURL, map[string]any{"Outage": true})
	got := make([]*answer, callers)
	replies := make([]reply, calls)
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / callers)
			got[i] = c.complete(i%2, request{prompt: fmt.Sprintf("report %d", i), tokens: 60, seed: uint64(i)})
		})
	}
	for i := range calls {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / calls)
			replies[i] = c.call(i%2, "POST", "/lots", "", fmt.Sprintf("lot-%d", i))
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.busiest(1).kill()
	time.Sleep(300 * time.Millisecond)
	c.busiest(2).freeze()
	wg.Wait()
	var whole, refused, failed int
	var first, gaps []time.Duration
	reasons := map[string]int{}
	for i, a := range got {
		switch {
		case a.whole(true):
			whole++
			first = append(first, a.times[0].Sub(a.begin))
			gaps = append(gaps, a.longestGap())
		case a.outcome == "NotRun" && a.retry != "":
			refused++
			detail, _, _ := strings.Cut(a.failed, `","`)
			reasons[fmt.Sprintf("%v: %s", a.begin.Sub(begin).Truncate(250*time.Millisecond), detail)]++
		case a.wrong(true):
			t.Errorf("answer %d is wrong or cut without a failure event: %v", i, a.problem())
		default:
			failed++
		}
	}
	t.Logf("callers %d in one second, all settled after %v: whole %d, refused NotRun %d, failed with an event %d; first token p50 %v, p95 %v; longest gap %v",
		callers, time.Since(begin).Round(time.Millisecond), whole, refused, failed, quantile(first, 0.5), quantile(first, 0.95), quantile(gaps, 1))
	for reason, n := range reasons {
		t.Logf("refused %d times, arrival %s", n, reason)
	}
	if worst := quantile(gaps, 1); worst > recoveryBound {
		t.Errorf("longest gap %v; allowed: %v", worst, recoveryBound)
	}
	if failed > 0 {
		t.Errorf("%d answers failed after they began", failed)
	}
	if whole == 0 {
		t.Error("no answer was whole")
	}
	c.checkEffects("lot", replies)
}
