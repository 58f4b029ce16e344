package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"shallotcourse/platform/sims"
)

const (
	// layers is the number of layers of the model.
	layers               = 8
	enginesPerDataCentre = 3
	callerCount          = 16
	// recoveryBound is the time after the last fault within which all gateways
	// must serve again. Deployments require the same.
	recoveryBound = 15 * time.Second
)

// world is a simulated site with its gateways and callers, and the failures that
// were found.
type world struct {
	t        *testing.T
	ctx      context.Context
	random   *rand.Rand
	site     *sims.Site
	gateways []*gateway
	engines  []*sims.Engine
	services []*sims.Service
	log      *os.File
	counts   counts

	mu       sync.Mutex
	failures []string
	history  []string
	// keys maps each rotated key to the time of its revocation, zero while it is
	// valid.
	keys    map[string]time.Time
	started time.Time
	// faulted holds the gateways and targets with an active exclusive fault.
	faulted map[string]bool
	// drains and disturbances are in the order of their start.
	drains       []drain
	disturbances []disturbance
}

func newWorld(ctx context.Context, t *testing.T, seed uint64, gateways int) *world {
	t.Helper()
	w := &world{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 0)), site: sims.NewSite(), keys: map[string]time.Time{}, started: time.Now(),
		faulted: map[string]bool{}, counts: counts{sendings: map[string]sending{}},
	}
	t.Cleanup(w.site.Close)
	store, _ := w.site.Serve(w.site.Store)
	w.site.WriteConfig(goodKey)
	dir := t.TempDir()
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	w.log = log
	t.Cleanup(func() { _ = log.Close() })
	for _, dc := range []string{"x", "y"} {
		for i := range enginesPerDataCentre {
			w.engines = append(w.engines, w.site.AddEngine(fmt.Sprintf("e-%s%d", dc, i), dc, sims.Model{Layers: layers, Token: 10 * time.Millisecond}))
		}
		w.services = append(w.services, w.site.AddService("p-"+dc, dc))
	}
	for i := range gateways {
		w.gateways = append(w.gateways, newGateway(t, dir, fmt.Sprintf("g%02d", i), []string{"x", "y"}[i%2], store))
	}
	for _, g := range w.gateways {
		g.start(w.recordFailure, w.log)
		t.Cleanup(g.kill)
	}
	return w
}

// recordFailure records a violated guarantee with the time since the start.
func (w *world) recordFailure(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf("%6.2f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// recordEvent records an injected fault for the report of failures.
func (w *world) recordEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, fmt.Sprintf("%6.2f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// randomKey returns a current or revoked key and the time of its revocation.
func (w *world) randomKey(random *rand.Rand) (string, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.keys) == 0 {
		return goodKey, time.Time{}
	}
	key := fmt.Sprintf("key-%d", random.IntN(len(w.keys)))
	return key, w.keys[key]
}

// rotateKeys writes a configuration with goodKey and a new key, which revokes
// all others.
func (w *world) rotateKeys() {
	w.mu.Lock()
	key := fmt.Sprintf("key-%d", len(w.keys))
	w.mu.Unlock()
	w.site.WriteConfig(goodKey, key)
	w.mu.Lock()
	defer w.mu.Unlock()
	for old, at := range w.keys {
		if at.IsZero() {
			w.keys[old] = time.Now()
		}
	}
	w.keys[key] = time.Time{}
}

// awaitServing waits until each gateway serves a call and a stream, and records
// a failure if that takes too long.
func (w *world) awaitServing(within time.Duration) {
	c := newCaller(w, len(w.gateways)+callerCount, 0)
	c.name = fmt.Sprintf("probe%d", time.Now().UnixNano())
	end := time.Now().Add(within)
	for i, g := range w.gateways {
		for _, path := range []string{"/look/probe", "/draft/probe?events=3"} {
			for {
				c.gateway, c.sent = i, c.sent+1
				resp, err := c.send(fmt.Sprintf("%s-%d", c.name, c.sent), http.MethodGet, path, "", goodKey)
				if err == nil {
					_ = resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					break
				}
				c.client.CloseIdleConnections()
				if time.Now().After(end) {
					w.recordFailure("%s does not serve %s within %s (err %v)", g.name, path, within, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// checkAtEnd checks how often calls ran, which is known only when all requests
// have ended, and the memory of the gateways.
func (w *world) checkAtEnd() {
	w.counts.mu.Lock()
	defer w.counts.mu.Unlock()
	for _, s := range w.counts.onceCalls {
		runs := 0
		for _, v := range w.services {
			runs += v.Runs(s.id)
		}
		switch {
		case runs > 1:
			w.recordFailure("call %s ran %d times", s.id, runs)
		case runs > 0 && meansNotRun(s.status):
			w.recordFailure("call %s ran, but %[3]s answered with status %[2]d, which means that it did not", s.id, s.status, s.gateway)
		}
	}
	w.checkStandings()
	w.checkDrains()
	for _, g := range w.gateways {
		if m := g.megabytes(); m > memoryMegabytes {
			w.recordFailure("%s uses %d MB", g.name, m)
		}
	}
}

// meansNotRun reports whether a status means that the request did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
