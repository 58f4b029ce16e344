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
	// betweenTokens and firstToken are the goals of docs/design.md, 2.5, for
	// 95 in 100.
	betweenTokens = 45 * time.Millisecond
	firstToken    = 950 * time.Millisecond
	// answerTokens is the length of every answer in the tests under load.
	answerTokens = 40
	// userTicks is the unit of processor time in /proc, per second.
	userTicks = 100
)

type (
	// load is what a group of callers saw.
	load struct {
		mu      sync.Mutex
		answers []*answer
		begin   time.Time
	}

	// usage is processor time in seconds.
	usage struct {
		at                  time.Time
		ours, self, machine float64
	}
)

// mixedKinds differ in speed by a factor of two and in link delay by four.
// The rates are low, so that the processors of the machine are not the limit.
var mixedKinds = []kind{
	{name: "fast", base: time.Millisecond, perToken: 2 * time.Millisecond, delay: 500 * time.Microsecond},
	{name: "slow", base: 2 * time.Millisecond, perToken: 4 * time.Millisecond, delay: 2 * time.Millisecond},
}

// bound returns the answer tokens per second that the engines can give while
// the time between tokens stays within the goal. A token needs one iteration at
// each of the k stages and one link in front of each, so an iteration at an
// engine with link delay d may take goal/k - d. That allows batches of
// n = floor((goal/k - d - base) / perToken) positions, at the rate
// n / (base + n*perToken). The rates of the replicas of a stage add up, the
// stage with the least sum decides, and a prompt of p tokens costs p - 1
// positions more than the answer has tokens. Waits for a running iteration are
// not subtracted: the bound is that of steps which always come in time.
func (c *cluster) bound(prompt int) float64 {
	least := math.Inf(1)
	for stage := range c.plan.stages {
		var sum float64
		for _, a := range c.agentsOf(stage) {
			k := a.kind
			left := betweenTokens/time.Duration(c.plan.stages) - k.delay - k.base
			n := int(left / k.perToken)
			sum += float64(n) / (k.base + time.Duration(n)*k.perToken).Seconds()
		}
		least = min(least, sum)
	}
	return least * answerTokens / float64(answerTokens+prompt-1)
}

// keep sends requests of one caller, one after another, until the end. A
// refused request comes back after its Retry-After.
func (l *load) keep(c *cluster, caller int, key string, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		a := c.complete(caller%len(c.entries), request{
			prompt: loadPrompt(caller), tokens: answerTokens, seed: uint64(caller*1000 + i), key: key,
		})
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
		if after, err := strconv.Atoi(a.retry); err == nil {
			time.Sleep(min(time.Duration(after)*time.Second, time.Until(end)))
		}
	}
}

// loadPrompt has the same number of tokens for all callers.
func loadPrompt(caller int) string { return fmt.Sprintf("r%03d", caller) }

func loadPromptTokens() int { return len(token.Encode(loadPrompt(0))) }

// wholeTokens returns the tokens of whole answers that arrived between two
// times after the begin, per second.
func (l *load) wholeTokens(from, to time.Duration) float64 {
	n := 0
	for _, a := range l.answers {
		if !a.whole(true) {
			continue
		}
		for _, at := range a.times {
			if d := at.Sub(l.begin); d >= from && d < to {
				n++
			}
		}
	}
	return float64(n) / (to - from).Seconds()
}

// latencies returns the times to the first token and between tokens of the
// answers that were begun after a time.
func (l *load) latencies(from time.Duration) (first, gaps []time.Duration) {
	for _, a := range l.answers {
		if a.begin.Sub(l.begin) < from || len(a.times) == 0 {
			continue
		}
		first = append(first, a.times[0].Sub(a.begin))
		for i := 1; i < len(a.times); i++ {
			gaps = append(gaps, a.times[i].Sub(a.times[i-1]))
		}
	}
	return first, gaps
}

// check fails the test for each wrong, cut or falsely refused answer, and
// returns the counts.
func (l *load) check(t *testing.T) (whole, refused int) {
	t.Helper()
	for i, a := range l.answers {
		switch {
		case a.whole(true):
			whole++
		case a.outcome == "NotRun" && a.retry != "" && len(a.times) == 0:
			refused++
		case a.wrong(true):
			t.Errorf("answer %d is wrong or cut without a failure event: %v", i, a.problem())
		default:
			t.Errorf("answer %d failed though nothing was lost: %v", i, a.problem())
		}
	}
	return whole, refused
}

// runs returns, for each request, the positions that all engines ran for it.
func (c *cluster) runs() map[string]int {
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

// checkRuns fails for requests that ran though their callers were told
// otherwise, and returns the share of the work that is in no whole answer.
func (c *cluster) checkRuns(before map[string]int, answers, whole int) float64 {
	c.t.Helper()
	began, total := 0, 0
	for id, n := range c.runs() {
		if before[id] == 0 && n > 0 {
			began++
			total += n
		}
	}
	if began > answers {
		c.t.Errorf("%d requests ran at an engine, but only %d were not told NotRun", began, answers)
	}
	useful := whole * c.plan.stages * (answerTokens + loadPromptTokens() - 1)
	return 1 - float64(useful)/float64(max(total, 1))
}

// usage reads the processor time of the test's processes and of the machine.
func (c *cluster) usage() usage {
	u := usage{at: time.Now(), self: processTime(os.Getpid())}
	procs := []*proc{c.platform}
	for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
		procs = append(procs, n.proc)
		if n.standin != nil {
			procs = append(procs, n.standin)
		}
	}
	for _, p := range procs {
		u.ours += processTime(p.cmd.Process.Pid)
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

// since says how many processors were in use on average.
func (u usage) since(before usage) string {
	s := u.at.Sub(before.at).Seconds()
	return fmt.Sprintf("processors in use: our processes %.2f, callers %.2f, whole machine %.2f",
		(u.ours-before.ours)/s, (u.self-before.self)/s, (u.machine-before.machine)/s)
}

// logTargets writes the agents' measures to the test's log.
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
