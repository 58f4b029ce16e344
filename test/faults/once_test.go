//go:build faults

package faults

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a non-idempotent call that takes effect twice, and against a
// NotRun for a call that took effect, while agents and entries are killed or
// frozen before the answer arrives and the table loses answers.
func TestNonIdempotentCalls(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprintf("Keyed=%v", keyed), func(t *testing.T) { testNonIdempotentCalls(t, keyed, 11) })
	}
}

func testNonIdempotentCalls(t *testing.T, keyed bool, seed uint64) {
	const callers, each = 24, 40
	t.Logf("seed %d", seed)
	c := newCluster(t, clusterConfig{entries: 2, services: 2})
	random := rand.New(rand.NewPCG(seed, 1))
	for _, a := range c.agentsOf(-1) {
		c.setFaults(a.standinURL, map[string]any{"Delay": 40 * time.Millisecond, "AfterDelay": 60 * time.Millisecond})
	}
	c.setFaults(c.platformURL, map[string]any{"LoseProbability": 0.2, "Seed": seed})
	results := make([][]callReply, callers*each)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for w := range callers {
		wg.Go(func() {
			for n := range each {
				i := w*each + n
				results[i] = c.callWithRetries(i, keyed)
			}
		})
	}
	var disturbed sync.WaitGroup
	disturbed.Go(func() { c.injectFaults(random, stop) })
	wg.Wait()
	close(stop)
	disturbed.Wait()
	c.awaitLateEffects()
	c.checkCalls(results)
}

// callWithRetries sends a call, alternating between the entries, until it
// succeeds. Without an idempotency key it retries only after NotRun.
func (c *cluster) callWithRetries(i int, keyed bool) []callReply {
	id := fmt.Sprintf("booking-%d", i)
	key := ""
	if keyed {
		key = id
	}
	var out []callReply
	for try := 0; len(out) < 8; try++ {
		r := c.sendCall((i+try)%len(c.entries), "POST", "/bookings", key, id)
		if errors.Is(r.err, syscall.ECONNREFUSED) {
			// Nothing was sent; a load balancer would choose another entry.
			time.Sleep(20 * time.Millisecond)
			continue
		}
		out = append(out, r)
		if r.err == nil && r.status/100 == 2 {
			return out
		}
		if !keyed && r.outcome != "NotRun" {
			// Without a key a call that may have run must not be retried.
			return out
		}
		time.Sleep(150 * time.Millisecond)
	}
	return out
}

// injectFaults kills or freezes one process at a time until stop is closed. It
// alternates between agents and entries, and between killing and freezing; the
// pauses are random.
func (c *cluster) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	services := c.agentsOf(-1)
	for round := 0; ; round++ {
		nodes := c.entries
		if round%2 == 0 {
			nodes = services
		}
		n := nodes[random.IntN(len(nodes))]
		if round/2%2 == 0 {
			n.kill()
			time.Sleep(100 * time.Millisecond)
			n.restart()
		} else {
			n.freeze()
			time.Sleep(1500 * time.Millisecond)
			n.thaw()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(150+random.IntN(300)) * time.Millisecond):
		}
	}
}

// awaitLateEffects waits until no call can take effect any more, since none may
// start after its deadline.
func (c *cluster) awaitLateEffects() { time.Sleep(3 * time.Second) }

// checkCalls compares the replies to all attempts of each call with its effects.
// An effect is a failure if all attempts were answered with NotRun.
func (c *cluster) checkCalls(results [][]callReply) {
	c.t.Helper()
	effects := c.effects()
	var done, notRun, other int
	for i, replies := range results {
		n := effects[fmt.Sprintf("booking-%d", i)]
		if n > 1 {
			c.t.Errorf("call %d took effect %d times: %v", i, n, replies)
		}
		last := replies[len(replies)-1]
		switch {
		case last.err == nil && last.status/100 == 2:
			done++
			if n != 1 {
				c.t.Errorf("call %d answered %d but took effect %d times", i, last.status, n)
			}
		case allNotRun(replies):
			notRun++
			if n != 0 {
				c.t.Errorf("call %d was reported NotRun but took effect %d times: %v", i, n, replies)
			}
		default:
			other++
		}
	}
	c.t.Logf("calls %d: done %d, NotRun %d, unknown or cut %d", len(results), done, notRun, other)
	if done == 0 {
		c.t.Error("no call succeeded")
	}
}

func allNotRun(replies []callReply) bool {
	for _, r := range replies {
		if r.outcome != "NotRun" {
			return false
		}
	}
	return true
}
