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
	layers       = 8
	enginesEach  = 3
	callersCount = 16
	// recovery is the time after the last fault within which all gateways
	// serve again; it is the bound of the deployments.
	recovery = 15 * time.Second
)

// world is a site with gateways, callers and what they found wrong.
type world struct {
	t        *testing.T
	ctx      context.Context
	random   *rand.Rand
	site     *sims.Site
	gateways []*gateway
	engines  []*sims.Engine
	services []*sims.Service
	log      *os.File
	tally    tally

	mu       sync.Mutex
	failures []string
	history  []string
	// revoked holds the keys and when they were taken away; zero is not yet.
	revoked map[string]time.Time
	begun   time.Time
	// held holds the gateways and targets that a fault is at work on.
	held map[string]bool
}

func newWorld(ctx context.Context, t *testing.T, seed uint64, gateways int) *world {
	t.Helper()
	w := &world{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 0)), site: sims.NewSite(), revoked: map[string]time.Time{}, begun: time.Now(),
		held: map[string]bool{},
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
		for i := range enginesEach {
			w.engines = append(w.engines, w.site.AddEngine(fmt.Sprintf("e-%s%d", dc, i), dc, sims.Model{Layers: layers, Token: 10 * time.Millisecond}))
		}
		w.services = append(w.services, w.site.AddService("p-"+dc, dc))
	}
	for i := range gateways {
		w.gateways = append(w.gateways, newGateway(t, dir, fmt.Sprintf("g%02d", i), []string{"x", "y"}[i%2], store))
	}
	for _, g := range w.gateways {
		g.start(w.fail, w.log)
		t.Cleanup(g.kill)
	}
	return w
}

// fail notes a broken promise.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf("%6.2f ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, args...))
}

// note keeps what was done, for the report of a failure.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, fmt.Sprintf("%6.2f ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, args...))
}

// someKey returns a key that exists or has existed.
func (w *world) someKey(random *rand.Rand) (string, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.revoked) == 0 {
		return goodKey, time.Time{}
	}
	key := fmt.Sprintf("key-%d", random.IntN(len(w.revoked)))
	return key, w.revoked[key]
}

// rotate writes a configuration with a new key and without the others.
func (w *world) rotate() {
	w.mu.Lock()
	key := fmt.Sprintf("key-%d", len(w.revoked))
	w.mu.Unlock()
	w.site.WriteConfig(goodKey, key)
	w.mu.Lock()
	defer w.mu.Unlock()
	for old, at := range w.revoked {
		if at.IsZero() {
			w.revoked[old] = time.Now()
		}
	}
	w.revoked[key] = time.Time{}
}

// served waits until each gateway serves a call and a stream.
func (w *world) served(within time.Duration) {
	c := newCaller(w, len(w.gateways)+callersCount, 0)
	c.name = fmt.Sprintf("probe%d", time.Now().UnixNano())
	end := time.Now().Add(within)
	for i, g := range w.gateways {
		for _, path := range []string{"/look/probe", "/draft/probe?events=3"} {
			for {
				c.at, c.sent = i, c.sent+1
				resp, err := c.send(fmt.Sprintf("%s-%d", c.name, c.sent), http.MethodGet, path, "", goodKey)
				if err == nil {
					_ = resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					break
				}
				c.client.CloseIdleConnections()
				if time.Now().After(end) {
					w.fail("%s does not serve %s within %s (err %v)", g.name, path, within, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// settle checks what can only be known at the end: how often calls ran.
func (w *world) settle() {
	w.tally.mu.Lock()
	defer w.tally.mu.Unlock()
	for _, s := range w.tally.once {
		runs := 0
		for _, v := range w.services {
			runs += v.Runs(s.id)
		}
		switch {
		case runs > 1:
			w.fail("call %s ran %d times", s.id, runs)
		case runs > 0 && promisesNotRun(s.status):
			w.fail("call %s got status %d from %s and ran", s.id, s.status, s.gateway)
		}
	}
	for _, g := range w.gateways {
		if m := g.megabytes(); m > memoryMegabytes {
			w.fail("%s takes %d MB", g.name, m)
		}
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
