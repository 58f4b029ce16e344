//go:build faults

package faults

import (
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Guards against slow recovery of the throughput, wasted work and starved small
// accounts when all callers arrive in one second at several times the capacity.
func TestReturnOfAllCallers(t *testing.T) {
	const (
		length      = 12 * time.Second
		maxRecovery = 2 * time.Second
		share       = 0.95
		window      = time.Second
		step        = 250 * time.Millisecond
	)
	accounts := []account{
		{"large-1", 4, 120}, {"large-2", 2, 80},
		{"small-1", 1, 10}, {"small-2", 1, 10}, {"small-3", 1, 10}, {"small-4", 1, 10},
	}
	c := newCluster(t, clusterConfig{entries: 2, stages: 2, replicas: 4, kinds: mixedKinds, accounts: accounts, endless: true, relayed: true})
	l, before, used := &loadRun{started: time.Now()}, c.positionsRun(), c.processorUsage()
	var wg sync.WaitGroup
	callers := 0
	for _, a := range accounts {
		for i := range a.callers {
			caller := callers
			callers++
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(a.callers))
				l.runCaller(c, caller, a.name, l.started.Add(length))
			})
		}
	}
	wg.Go(func() {
		time.Sleep(time.Until(l.started.Add(length - time.Second)))
		c.logTargets()
	})
	wg.Wait()
	cpu := c.processorUsage().since(used)
	complete, refused := l.checkAnswers(t)
	lost := c.checkRuns(before, len(l.answers)-refused, complete)
	bound := c.maxTokenRate(loadPromptTokens())
	returned := time.Duration(-1)
	for from := time.Duration(0); from+window <= length; from += step {
		rate := l.completeTokenRate(from, from+window)
		if from%window == 0 {
			t.Logf("second %2d: %4.0f tokens/s, %5.1f%% of the bound", from/time.Second, rate, 100*rate/bound)
		}
		if returned < 0 && rate >= share*bound {
			returned = from
		}
	}
	first, gaps := l.latencies(0)
	t.Logf("callers %d: complete %d, refused NotRun %d, bound %.0f tokens/s, back at %.0f%% after %v, first token p95 %v, between tokens p95 %v, work wasted %.2f%%",
		callers, complete, refused, bound, 100*share, returned, quantile(first, 0.95), quantile(gaps, 0.95), 100*lost)
	t.Logf("served share by weight: Jain index %.3f; Retry-After %s", l.fairness(t, accounts), l.retryHints())
	t.Logf("%s of %d", cpu, runtime.NumCPU())
	if returned < 0 || returned > maxRecovery {
		t.Errorf("goodput is back at %.0f%% of the bound after %v (-1ns: never), want at most %v", 100*share, returned, maxRecovery)
	}
	if p := quantile(first, 0.95); p > firstTokenGoal {
		t.Errorf("p95 of the first token is %v, want at most %v", p, firstTokenGoal)
	}
	if p := quantile(gaps, 0.95); p > betweenTokensGoal {
		t.Errorf("p95 between tokens is %v, want at most %v", p, betweenTokensGoal)
	}
}

// fairness returns the Jain index of the tokens served to each account, divided
// by its weight: 1 if all shares are equal, 1/n if one account got everything.
func (l *loadRun) fairness(t *testing.T, accounts []account) float64 {
	served := map[string]int{}
	for _, a := range l.answers {
		if a.matchesReference(true) {
			served[a.request.key] += len(a.tokenTimes)
		}
	}
	var sum, squares float64
	for _, a := range accounts {
		x := float64(served[a.name]) / float64(a.weight)
		t.Logf("account %s: weight %d, callers %d, %d tokens", a.name, a.weight, a.callers, served[a.name])
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(accounts)) * max(squares, 1))
}

// retryHints describes the distribution of the Retry-After hints.
func (l *loadRun) retryHints() string {
	var all []time.Duration
	for _, a := range l.answers {
		if n, err := strconv.Atoi(a.retryAfter); err == nil {
			all = append(all, time.Duration(n)*time.Second)
		}
	}
	return "p5 " + quantile(all, 0.05).String() + ", p50 " + quantile(all, 0.5).String() + ", p95 " + quantile(all, 0.95).String()
}
