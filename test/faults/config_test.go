//go:build faults

package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

// propagationBound is the longest time from the acceptance of a change until it
// is in force at all instances.
const propagationBound = 7 * time.Second

var revisionMetric = regexp.MustCompile(`(?m)^shallotcourse_revision (\d+)$`)

type (
	// acceptedChange is a change that an entry reported to its operator as
	// accepted, and when.
	acceptedChange struct {
		change resrc.Change
		at     time.Time
	}

	// revisionSampler samples the revision in force at every ready process.
	revisionSampler struct {
		c  *cluster
		mu sync.Mutex
		// samples holds the samples of each process, by its name.
		samples map[string][]sample
	}

	sample struct {
		at       time.Time
		revision uint64
	}
)

// Guards against a lost, reverted or late change while operators write the same
// resources, the table is slow, down or loses answers, and entries restart.
func TestRacingOperators(t *testing.T) {
	const seed = 5
	t.Logf("seed %d", seed)
	c := newCluster(t, clusterConfig{entries: 3, stages: 2, replicas: 1})
	w := &revisionSampler{c: c, samples: map[string][]sample{}}
	stopWatch := w.run()
	random := rand.New(rand.NewPCG(seed, 2))
	stop := make(chan struct{})
	var disturbed sync.WaitGroup
	disturbed.Go(func() { c.injectTableFaults(random, stop) })
	var mu sync.Mutex
	var won []acceptedChange
	var notRun []string
	var conflicts, unknown int
	var wg sync.WaitGroup
	for op := range 8 {
		wg.Go(func() {
			for n := range 30 {
				change, err := c.writeAccount(op, n)
				mu.Lock()
				switch {
				case err == nil:
					won = append(won, acceptedChange{change, time.Now()})
				case isConflict(err):
					conflicts++
				default:
					unknown++
				}
				if err != nil && fault.As(err).Outcome == fault.NotRun {
					notRun = append(notRun, changeID(op, n))
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	close(stop)
	disturbed.Wait()
	c.setFaults(c.platformURL, map[string]any{})
	time.Sleep(propagationBound)
	stopWatch()
	t.Logf("writes: accepted %d, conflicts %d, unavailable or unknown %d", len(won), conflicts, unknown)
	c.checkAudit(won, notRun)
	w.check(won)
}

// writeAccount writes one of four accounts at the revision that the operator
// read before, so that concurrent writes conflict.
func (c *cluster) writeAccount(op, n int) (resrc.Change, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := clnt.New([]string{"http://" + c.entries[(op+n)%len(c.entries)].operator}, operatorKey)
	name := fmt.Sprintf("member-%d", (op+n)%4)
	var revision uint64
	if r, err := client.Get(ctx, resrc.KindClientAccount, name); err == nil {
		revision = r.Revision
	}
	return client.Put(ctx, resrc.Resource{
		Kind: resrc.KindClientAccount, Name: name, Revision: revision,
		Spec: resrc.ClientAccount{Weight: 1, RequestsPerSecond: float64(op + 1), Burst: n + 1, Concurrency: 1},
	}, changeID(op, n))
}

func changeID(op, n int) string { return fmt.Sprintf("change-%d-%d", op, n) }

// injectTableFaults makes the table lose answers, slow and unavailable in turn,
// and restarts an entry while it is unavailable.
func (c *cluster) injectTableFaults(random *rand.Rand, stop <-chan struct{}) {
	for round := 0; ; round++ {
		switch round % 4 {
		case 0:
			c.setFaults(c.platformURL, map[string]any{"LoseAnswers": 3})
		case 1:
			c.setFaults(c.platformURL, map[string]any{"Delay": "300ms"})
		case 2:
			c.setFaults(c.platformURL, map[string]any{"Outage": true})
			e := c.entries[1+random.IntN(len(c.entries)-1)]
			e.kill()
			e.restart()
		case 3:
			c.setFaults(c.platformURL, map[string]any{"LoseProbability": 0.3, "Seed": 3})
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+random.IntN(500)) * time.Millisecond):
		}
	}
}

func (w *revisionSampler) run() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	nodes := append(append([]*node{}, w.c.entries...), w.c.agents...)
	for _, n := range nodes {
		wg.Go(func() {
			client := &http.Client{Timeout: 500 * time.Millisecond}
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				w.sample(client, n)
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

func (w *revisionSampler) sample(client *http.Client, n *node) {
	ready, err := client.Get("http://" + n.operator + "/readyz")
	if err != nil {
		return
	}
	_ = ready.Body.Close()
	resp, err := client.Get("http://" + n.operator + "/metrics")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || ready.StatusCode != http.StatusOK {
		return
	}
	match := revisionMetric.FindSubmatch(body)
	if match == nil {
		return
	}
	revision, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[n.name] = append(w.samples[n.name], sample{time.Now(), revision})
}

// check fails the test for each ready process whose revision decreased, also
// across a restart, or that did not have an accepted change in force within
// propagationBound.
func (w *revisionSampler) check(won []acceptedChange) {
	w.c.t.Helper()
	var times []time.Duration
	for name, samples := range w.samples {
		var highest uint64
		for _, s := range samples {
			if s.revision < highest {
				w.c.t.Errorf("%s went back from revision %d to %d", name, highest, s.revision)
			}
			highest = max(highest, s.revision)
		}
		for _, a := range won {
			if d, ok := lagAfter(samples, a); ok {
				times = append(times, d)
			}
		}
	}
	w.c.t.Logf("time to in force: p50 %v, p95 %v, max %v (%d samples)", quantile(times, 0.5), quantile(times, 0.95), quantile(times, 1), len(times))
	if worst := quantile(times, 1); worst > propagationBound {
		w.c.t.Errorf("in force after %v; allowed: %v", worst, propagationBound)
	}
}

// lagAfter returns for how long after the acceptance of a change a process still
// had an older revision in force, and whether it was sampled at all since.
func lagAfter(samples []sample, a acceptedChange) (time.Duration, bool) {
	last := time.Duration(0)
	seen := false
	for _, s := range samples {
		if s.at.Before(a.at) {
			continue
		}
		seen = true
		if s.revision < a.change.Revision {
			last = s.at.Sub(a.at)
		}
	}
	return last, seen
}

// checkAudit compares the audit trail with the results reported to operators.
func (c *cluster) checkAudit(won []acceptedChange, notRun []string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	changes, err := c.client(0).Audit(ctx, 0, 1000)
	if err != nil {
		c.t.Fatal(err)
	}
	byRevision := map[uint64]resrc.Change{}
	byID := map[string]int{}
	for i, ch := range changes {
		if ch.Revision != uint64(i)+1 {
			c.t.Errorf("audit row %d has revision %d", i, ch.Revision)
		}
		byRevision[ch.Revision] = ch
		byID[ch.ID]++
	}
	for id, n := range byID {
		if n > 1 {
			c.t.Errorf("change %s was accepted %d times", id, n)
		}
	}
	for _, id := range notRun {
		if byID[id] > 0 {
			c.t.Errorf("change %s was reported as NotRun and is in the audit trail", id)
		}
	}
	for _, a := range won {
		if byRevision[a.change.Revision].ID != a.change.ID {
			c.t.Errorf("accepted change %s at revision %d is not in the audit trail", a.change.ID, a.change.Revision)
		}
	}
}
