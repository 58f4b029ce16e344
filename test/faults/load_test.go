//go:build faults

package faults

import (
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotcourse/internal/token"
)

const (
	// betweenTokensGoal and firstTokenGoal bound the 95th percentiles of the
	// time between tokens and of the time to the first token; see
	// docs/design.md, 2.5.
	betweenTokensGoal = 45 * time.Millisecond
	firstTokenGoal    = 950 * time.Millisecond
	// answerTokens is the length of every answer in the tests under load.
	answerTokens = 40
	// userTicks is the number of clock ticks per second in /proc.
	userTicks = 100
)

type (
	// loadRun collects the answers of a group of callers.
	loadRun struct {
		mu      sync.Mutex
		answers []*answer
		started time.Time
	}

	// processorUsage is the processor time, in seconds, that the started
	// processes, the test process and the whole machine have used.
	processorUsage struct {
		at                              time.Time
		processes, testProcess, machine float64
	}
)

// mixedKinds differ in speed by a factor of two and in link delay by four.
// The rates are low, so that the processors of the machine are not the limit.
var mixedKinds = []acceleratorKind{
	{name: "fast", base: time.Millisecond, perToken: 2 * time.Millisecond, delay: 500 * time.Microsecond},
	{name: "slow", base: 2 * time.Millisecond, perToken: 4 * time.Millisecond, delay: 2 * time.Millisecond},
}

// maxTokenRate returns the answer tokens per second that the engines can give
// while the time between tokens stays within the goal. A token needs one
// iteration at each of the k stages and one link in front of each, so an
// iteration at an engine with link delay d may take goal/k - d. That allows batches of
// n = floor((goal/k - d - base) / perToken) positions, at the rate
// n / (base + n*perToken). The rates of the replicas of a stage add up, the
// stage with the least sum decides, and a prompt of p tokens costs p - 1
// positions more than the answer has tokens. Time spent waiting for a running
// iteration is not subtracted: the bound assumes that each step arrives just in
// time for an iteration.
func (c *cluster) maxTokenRate(prompt int) float64 {
	least := math.Inf(1)
	for stage := range c.config.stages {
		var sum float64
		for _, a := range c.agentsOf(stage) {
			k := a.kind
			left := betweenTokensGoal/time.Duration(c.config.stages) - k.delay - k.base
			n := int(left / k.perToken)
			sum += float64(n) / (k.base + time.Duration(n)*k.perToken).Seconds()
		}
		least = min(least, sum)
	}
	return least * answerTokens / float64(answerTokens+prompt-1)
}

// runCaller sends the requests of one caller, one after another, until the end.
// After a refusal it waits for the Retry-After.
func (l *loadRun) runCaller(c *cluster, caller int, key string, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		a := c.sendCompletion(caller%len(c.entries), request{
			prompt: loadPrompt(caller), tokens: answerTokens, seed: uint64(caller*1000 + i), key: key,
		})
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
		if after, err := strconv.Atoi(a.retryAfter); err == nil {
			time.Sleep(min(time.Duration(after)*time.Second, time.Until(end)))
		}
	}
}

// loadPrompt returns the prompt of a caller, of the same number of tokens for
// all callers.
func loadPrompt(caller int) string { return fmt.Sprintf("r%03d", caller) }

func loadPromptTokens() int { return len(token.Encode(loadPrompt(0))) }

// completeTokenRate returns the tokens per second, of complete answers only, that
// arrived between two times after the start.
func (l *loadRun) completeTokenRate(from, to time.Duration) float64 {
	n := 0
	for _, a := range l.answers {
		if !a.matchesReference(true) {
			continue
		}
		for _, at := range a.tokenTimes {
			if d := at.Sub(l.started); d >= from && d < to {
				n++
			}
		}
	}
	return float64(n) / (to - from).Seconds()
}

// latencies returns the times to the first token and between tokens of the
// requests that were sent at or after a time.
func (l *loadRun) latencies(from time.Duration) (first, gaps []time.Duration) {
	for _, a := range l.answers {
		if a.started.Sub(l.started) < from || len(a.tokenTimes) == 0 {
			continue
		}
		first = append(first, a.tokenTimes[0].Sub(a.started))
		for i := 1; i < len(a.tokenTimes); i++ {
			gaps = append(gaps, a.tokenTimes[i].Sub(a.tokenTimes[i-1]))
		}
	}
	return first, gaps
}

// checkAnswers fails the test for each answer that is neither complete and
// correct nor a refusal with NotRun and a Retry-After, and returns the counts of
// both.
func (l *loadRun) checkAnswers(t *testing.T) (complete, refused int) {
	t.Helper()
	for i, a := range l.answers {
		switch {
		case a.matchesReference(true):
			complete++
		case a.outcome == "NotRun" && a.retryAfter != "" && len(a.tokenTimes) == 0:
			refused++
		case a.wrong(true):
			t.Errorf("answer %d is wrong or cut without a failure event: %v", i, a.problem())
		default:
			t.Errorf("answer %d failed though nothing was lost: %v", i, a.problem())
		}
	}
	return complete, refused
}

// positionsRun returns, for each request, the number of positions that all
// engines together have run for it.
func (c *cluster) positionsRun() map[string]int {
	out := map[string]int{}
	for _, a := range c.agents {
		if a.stage < 0 {
			continue
		}
		var stats struct{ Runs map[string][]int }
		c.getJSON(a.standinURL+"/stats", &stats)
		for session, positions := range stats.Runs {
			// A session is named by incarnation, request and generation.
			parts := strings.Split(session, ".")
			for _, n := range positions {
				out[parts[len(parts)-2]] += n
			}
		}
	}
	return out
}

// checkRuns fails the test if the engines ran more requests than there are
// answers other than NotRun. It returns the share of the positions run that
// belongs to no complete answer.
func (c *cluster) checkRuns(before map[string]int, answers, complete int) float64 {
	c.t.Helper()
	began, total := 0, 0
	for id, n := range c.positionsRun() {
		if before[id] == 0 && n > 0 {
			began++
			total += n
		}
	}
	if began > answers {
		c.t.Errorf("%d requests ran at an engine, but only %d answers are other than NotRun", began, answers)
	}
	useful := complete * c.config.stages * (answerTokens + loadPromptTokens() - 1)
	return 1 - float64(useful)/float64(max(total, 1))
}

// processorUsage reads the processor time used until now.
func (c *cluster) processorUsage() processorUsage {
	u := processorUsage{at: time.Now(), testProcess: processTime(os.Getpid())}
	procs := []*proc{c.platform}
	for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
		procs = append(procs, n.proc)
		if n.standin != nil {
			procs = append(procs, n.standin)
		}
	}
	for _, p := range procs {
		u.processes += processTime(p.cmd.Process.Pid)
	}
	if b, err := os.ReadFile("/proc/stat"); err == nil {
		line, _, _ := strings.Cut(string(b), "\n")
		for i, f := range strings.Fields(line) {
			// Fields 4 and 5 are idle time.
			if n, err := strconv.ParseFloat(f, 64); err == nil && i != 4 && i != 5 {
				u.machine += n / userTicks
			}
		}
	}
	return u
}

func processTime(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / userTicks
}

// since describes how many processors were in use on average since a previous
// reading.
func (u processorUsage) since(before processorUsage) string {
	s := u.at.Sub(before.at).Seconds()
	return fmt.Sprintf("processors in use: started processes %.2f, callers %.2f, whole machine %.2f",
		(u.processes-before.processes)/s, (u.testProcess-before.testProcess)/s, (u.machine-before.machine)/s)
}

// logTargets logs the metrics of the agents.
func (c *cluster) logTargets() {
	for _, a := range c.agents {
		resp, err := c.http.Get("http://" + a.operator + "/metrics")
		if err != nil {
			c.t.Logf("%s: %v", a.target, err)
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var out []string
		for line := range strings.Lines(string(b)) {
			if rest, ok := strings.CutPrefix(line, "shallotcourse_agent_"); ok {
				out = append(out, strings.TrimSpace(rest))
			}
		}
		c.t.Logf("%s (%s): %s", a.target, a.kind.name, strings.Join(out, ", "))
	}
}
