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
// false NotRun, while agents and entries are killed and frozen between send
// and answer and the table loses answers.
func TestNonIdempotentCalls(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprintf("Keyed=%v", keyed), func(t *testing.T) { testOnce(t, keyed, 11) })
	}
}

func testOnce(t *testing.T, keyed bool, seed uint64) {
	const callers, each = 24, 40
	t.Logf("seed %d", seed)
	c := newCluster(t, plan{entries: 2, services: 2})
	random := rand.New(rand.NewPCG(seed, 1))
	for _, a := range c.agentsOf(-1) {
		c.faults(a.standinURL, map[string]any{"Delay": 40 * time.Millisecond, "AfterDelay": 60 * time.Millisecond})
	}
	c.faults(c.platformURL, map[string]any{"LoseProbability": 0.2, "Seed": seed})
	results := make([][]reply, callers*each)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for w := range callers {
		wg.Go(func() {
			for n := range each {
				i := w*each + n
				results[i] = c.callUntilSettled(i, keyed)
			}
		})
	}
	var disturbed sync.WaitGroup
	disturbed.Go(func() { c.disturb(random, stop) })
	wg.Wait()
	close(stop)
	disturbed.Wait()
	c.settle()
	c.checkKeyed(results)
}

// callUntilSettled repeats a call through both entries, as a caller does that
// was told NotRun, or that holds a key.
func (c *cluster) callUntilSettled(i int, keyed bool) []reply {
	id := fmt.Sprintf("booking-%d", i)
	key := ""
	if keyed {
		key = id
	}
	var out []reply
	for try := 0; len(out) < 8; try++ {
		r := c.call((i+try)%len(c.entries), "POST", "/bookings", key, id)
		if errors.Is(r.err, syscall.ECONNREFUSED) {
			// Nothing was sent: the balancer would pick another entry.
			time.Sleep(20 * time.Millisecond)
			continue
		}
		out = append(out, r)
		if r.err == nil && r.status/100 == 2 {
			return out
		}
		if !keyed && r.outcome != "NotRun" {
			// Without a key a caller must not repeat what may have run.
			return out
		}
		time.Sleep(150 * time.Millisecond)
	}
	return out
}

// disturb kills and freezes one process at a time until stop is closed. Each
// kind of process is killed and frozen in turn; the pauses are random.
func (c *cluster) disturb(random *rand.Rand, stop <-chan struct{}) {
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

// settle waits for late effects: no call may start after its deadline.
func (c *cluster) settle() { time.Sleep(3 * time.Second) }

// checkKeyed compares all replies of each call with its effects. A NotRun is
// false if no later attempt of the same caller can explain the effect.
func (c *cluster) checkKeyed(results [][]reply) {
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

func allNotRun(replies []reply) bool {
	for _, r := range replies {
		if r.outcome != "NotRun" {
			return false
		}
	}
	return true
}
