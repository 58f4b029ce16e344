//go:build faults

package faults

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// Guards against a policy that leaves accelerators idle, or makes tokens late,
// while more callers than the hardware can serve keep asking.
func TestSaturation(t *testing.T) {
	const (
		callers = 100
		warm    = 4 * time.Second
		length  = 14 * time.Second
		share   = 0.9
	)
	c := newCluster(t, plan{entries: 2, stages: 2, replicas: 4, kinds: mixedKinds, endless: true, relayed: true})
	l, before, used := &load{begin: time.Now()}, c.runs(), c.usage()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / callers)
			l.keep(c, i, "", l.begin.Add(length))
		})
	}
	wg.Go(func() {
		time.Sleep(time.Until(l.begin.Add(length - time.Second)))
		c.logTargets()
	})
	wg.Wait()
	cpu := c.usage().since(used)
	whole, refused := l.check(t)
	lost := c.checkRuns(before, len(l.answers)-refused, whole)
	bound, rate := c.bound(loadPromptTokens()), l.wholeTokens(warm, length)
	first, gaps := l.latencies(warm)
	t.Logf("callers %d: whole %d, refused NotRun %d, bound %.0f tokens/s, whole answers %.0f tokens/s (%.1f%%), first token p50 %v p95 %v, between tokens p50 %v p95 %v, work thrown away %.2f%%",
		callers, whole, refused, bound, rate, 100*rate/bound, quantile(first, 0.5), quantile(first, 0.95),
		quantile(gaps, 0.5), quantile(gaps, 0.95), 100*lost)
	t.Logf("%s of %d", cpu, runtime.NumCPU())
	if rate < share*bound {
		t.Errorf("throughput is %.1f%% of the bound, want %.0f%%", 100*rate/bound, 100*share)
	}
	if p := quantile(first, 0.95); p > firstToken {
		t.Errorf("p95 of the first token is %v, want at most %v", p, firstToken)
	}
	if p := quantile(gaps, 0.95); p > betweenTokens {
		t.Errorf("p95 between tokens is %v, want at most %v", p, betweenTokens)
	}
}
