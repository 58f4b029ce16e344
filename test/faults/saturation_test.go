//go:build faults

package faults

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// Guards against accelerators left idle, and against late tokens, while more
// callers than the hardware can serve keep sending requests.
func TestSaturation(t *testing.T) {
	const (
		callers = 100
		warmUp  = 4 * time.Second
		length  = 14 * time.Second
		share   = 0.9
	)
	c := newCluster(t, clusterConfig{entries: 2, stages: 2, replicas: 4, kinds: mixedKinds, endless: true, relayed: true})
	l, before, used := &loadRun{started: time.Now()}, c.positionsRun(), c.processorUsage()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / callers)
			l.runCaller(c, i, "", l.started.Add(length))
		})
	}
	wg.Go(func() {
		time.Sleep(time.Until(l.started.Add(length - time.Second)))
		c.logTargets()
	})
	wg.Wait()
	cpu := c.processorUsage().since(used)
	complete, refused := l.checkAnswers(t)
	lost := c.checkRuns(before, len(l.answers)-refused, complete)
	bound, rate := c.maxTokenRate(loadPromptTokens()), l.completeTokenRate(warmUp, length)
	first, gaps := l.latencies(warmUp)
	t.Logf("callers %d: complete %d, refused NotRun %d, bound %.0f tokens/s, complete answers %.0f tokens/s (%.1f%%), first token p50 %v p95 %v, between tokens p50 %v p95 %v, work wasted %.2f%%",
		callers, complete, refused, bound, rate, 100*rate/bound, quantile(first, 0.5), quantile(first, 0.95),
		quantile(gaps, 0.5), quantile(gaps, 0.95), 100*lost)
	t.Logf("%s of %d", cpu, runtime.NumCPU())
	if rate < share*bound {
		t.Errorf("throughput is %.1f%% of the bound, want %.0f%%", 100*rate/bound, 100*share)
	}
	if p := quantile(first, 0.95); p > firstTokenGoal {
		t.Errorf("p95 of the first token is %v, want at most %v", p, firstTokenGoal)
	}
	if p := quantile(gaps, 0.95); p > betweenTokensGoal {
		t.Errorf("p95 between tokens is %v, want at most %v", p, betweenTokensGoal)
	}
}
