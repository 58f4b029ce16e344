//go:build faults

package faults

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/pkg/resrc"
)

// drainBound is the time after the drain of a target from which it must get no
// new work.
const drainBound = 3 * time.Second

// startLoad starts callers that send completions until stop is called, which
// returns their answers. Pick chooses the entry for the n-th request of a caller.
func (c *cluster) startLoad(callers, tokens int, pick func(caller, n int) int) (stop func() []*answer) {
	var mu sync.Mutex
	var all []*answer
	var wg sync.WaitGroup
	var ended atomic.Bool
	for w := range callers {
		wg.Go(func() {
			for n := 0; !ended.Load(); n++ {
				a := c.sendCompletion(pick(w, n), request{prompt: fmt.Sprintf("guide %d %d", w, n), tokens: tokens, seed: uint64(w*1000 + n)})
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
		})
	}
	return func() []*answer {
		ended.Store(true)
		wg.Wait()
		return all
	}
}

func (c *cluster) checkWhole(all []*answer) {
	c.t.Helper()
	failed := 0
	for _, a := range all {
		if a.matchesReference(c.config.endless) {
			continue
		}
		if failed++; failed <= 5 {
			c.t.Errorf("incomplete or wrong answer: %v", a.problem())
		}
	}
	c.t.Logf("answers %d, incomplete or wrong %d", len(all), failed)
}

// Guards against new work on a target that an operator drains, while the list of
// instances, which lags behind, still shows it as running.
func TestLeavingTarget(t *testing.T) {
	c := newCluster(t, clusterConfig{entries: 2, stages: 2, replicas: 2, endless: true, cost: "2ms/20us"})
	c.setFaults(c.platformURL, map[string]any{"ListLag": "30s"})
	stop := c.startLoad(12, 30, func(caller, n int) int { return (caller + n) % len(c.entries) })
	time.Sleep(time.Second)
	leaving := c.agentsOf(0)[0]
	spec := c.targetSpec(leaving)
	spec.Draining = true
	begin := time.Now()
	c.put(resrc.Resource{Kind: resrc.KindTarget, Name: leaving.target, Revision: c.revision(leaving.target), Spec: spec})
	last := begin
	before := c.sessionsRun(leaving)
	for time.Since(begin) < 2*drainBound {
		if n := c.sessionsRun(leaving); n > before {
			before, last = n, time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.checkWhole(stop())
	t.Logf("last new work %v after the drain was declared", last.Sub(begin))
	if last.Sub(begin) > drainBound {
		t.Errorf("last new work after %v; allowed: %v", last.Sub(begin), drainBound)
	}
}

// revision returns the current revision of a target resource.
func (c *cluster) revision(target string) uint64 {
	c.t.Helper()
	r, err := c.client(0).Get(c.t.Context(), resrc.KindTarget, target)
	if err != nil {
		c.t.Fatal(err)
	}
	return r.Revision
}

// sessionsRun returns the number of sessions that an engine has run steps for.
func (c *cluster) sessionsRun(n *node) int {
	c.t.Helper()
	var s fengn.Stats
	c.getJSON(n.standinURL+"/stats", &s)
	return len(s.Runs)
}

// Guards against requests that are cut by a planned stop: every agent and entry
// is restarted in turn under load.
func TestRollingRestart(t *testing.T) {
	c := newCluster(t, clusterConfig{entries: 2, stages: 2, replicas: 2, services: 2, endless: true, cost: "2ms/20us"})
	for _, a := range c.agentsOf(-1) {
		// Calls take longer than the one second for which a stopping agent
		// keeps its links.
		c.setFaults(a.standinURL, map[string]any{"AfterDelay": 2 * time.Second})
	}
	balancer := c.startBalancer()
	stopCalls := c.startCalls(balancer)
	stop := c.startLoad(12, 60, func(int, int) int { return balancer.pick() })
	time.Sleep(500 * time.Millisecond)
	for _, a := range c.agents {
		a.terminate()
		a.restart()
		waitOK(t, "http://"+a.operator+"/readyz")
		time.Sleep(300 * time.Millisecond)
	}
	for _, e := range c.entries {
		e.terminate()
		e.restart()
		waitOK(t, "http://"+e.operator+"/readyz")
		time.Sleep(300 * time.Millisecond)
	}
	c.checkWhole(stop())
	for _, r := range stopCalls() {
		if r.err != nil || r.status/100 != 2 {
			t.Errorf("call was cut: %+v", r)
		}
	}
}

// balancer chooses entries in turn among those that were ready when last polled.
type balancer struct {
	ready []atomic.Bool
	next  atomic.Uint64
}

// startBalancer starts to poll /readyz of the entries every 100 ms, like a load
// balancer.
func (c *cluster) startBalancer() *balancer {
	b := &balancer{ready: make([]atomic.Bool, len(c.entries))}
	for i, e := range c.entries {
		b.ready[i].Store(true)
		go func() {
			for c.t.Context().Err() == nil {
				resp, err := c.http.Get("http://" + e.operator + "/readyz")
				b.ready[i].Store(err == nil && resp.StatusCode == 200)
				if err == nil {
					_ = resp.Body.Close()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return b
}

func (b *balancer) pick() int {
	first := int(b.next.Add(1) % uint64(len(b.ready)))
	for k := range len(b.ready) {
		if i := (first + k) % len(b.ready); b.ready[i].Load() {
			return i
		}
	}
	return first
}

func (c *cluster) startCalls(b *balancer) (stop func() []callReply) {
	var mu sync.Mutex
	var all []callReply
	var wg sync.WaitGroup
	var ended atomic.Bool
	for w := range 16 {
		wg.Go(func() {
			// The calls overlap, so that some are running at any moment.
			time.Sleep(time.Duration(w) * 125 * time.Millisecond)
			for n := 0; !ended.Load(); n++ {
				r := c.sendCall(b.pick(), "POST", "/bookings", "", fmt.Sprintf("rolling-%d-%d", w, n))
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() []callReply {
		ended.Store(true)
		wg.Wait()
		return all
	}
}
