package entry

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// fakeEntryLink is an in-memory link from one entry to another.
type fakeEntryLink struct {
	from, to string
	fixtures map[string]*fixture
	mu       sync.Mutex
	down     bool
}

func (p *fakeEntryLink) Hello() wire.Hello     { return wire.Hello{Role: wire.RoleEntry, Instance: p.to} }
func (p *fakeEntryLink) Close(error)           {}
func (p *fakeEntryLink) Done() <-chan struct{} { return nil }
func (p *fakeEntryLink) Send(m wire.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		p.fixtures[p.to].entry.Receive(&fakeEntryLink{from: p.to, to: p.from, fixtures: p.fixtures}, m)
	}
	return nil
}

// Guards against an account that exceeds its limit because its callers use
// several entries, or gets far less while they use only one, and against an
// account that is no longer served when the owner of its quota is lost.
func TestQuota(t *testing.T) {
	is := is.New(t)
	fixtures := map[string]*fixture{}
	for _, name := range []string{"e1", "e2"} {
		fixtures[name] = newFixture(t, Bounds{}, name)
	}
	var links []*fakeEntryLink
	for _, pair := range [][2]string{{"e1", "e2"}, {"e2", "e1"}} {
		p := &fakeEntryLink{from: pair[0], to: pair[1], fixtures: fixtures}
		fixtures[pair[0]].entry.LinkUp(p)
		links = append(links, p)
	}
	rate := func(name string) float64 {
		a := fixtures[name].entry.admission
		a.mu.Lock()
		defer a.mu.Unlock()
		spec := resrc.ClientAccount{RequestsPerSecond: 1000, Burst: 100, Concurrency: 50}
		return a.accountState("acme", spec, time.Now()).rates.PerSecond
	}
	use := func(name string) { fixtures[name].post("/v1/completions", `{"model":"oak","prompt":"x"}`) }
	use("e1")
	is.Equal(rate("e1"), 500.0) // without a loan: the limit divided by the entries
	deadline := time.Now().Add(5 * time.Second)
	for rate("e1") <= 500 && time.Now().Before(deadline) {
		use("e1")
		time.Sleep(20 * time.Millisecond)
	}
	is.True(rate("e1") > 500) // a part of the quota that e2 does not use is lent
	is.True(rate("e1")+rate("e2") <= 1500)
	for _, p := range links {
		p.mu.Lock()
		p.down = true
		p.mu.Unlock()
	}
	time.Sleep(limit.QuotaPeriod)
	is.True(rate("e1") == 500 || rate("e2") == 500) // the borrower falls back to its share
}

// Guards against an account that exceeds its rate, and against a refusal
// without a Retry-After header.
func TestAccountLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	limited := 0
	for range 20 {
		resp, b := f.post("/v1/completions", `{"model":"oak","prompt":"x"}`, "Authorization", "Bearer key-slow")
		if resp.StatusCode == http.StatusTooManyRequests {
			limited++
			code, outcome := decodeError(t, b)
			is.Equal(code, "LimitReached")
			is.Equal(outcome, "NotRun")
			after, err := strconv.Atoi(resp.Header.Get("Retry-After"))
			is.NoErr(err)
			is.True(after >= 1)
		}
	}
	is.True(limited >= 16) // a burst of two, then one per second
}

// Guards against a queue that hides an overload: a request that cannot be
// dispatched in time has to be refused before its deadline has passed.
func TestOverload(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{Concurrency: 1, Queue: 2, FirstToken: 300 * time.Millisecond})
	a := f.linkAgent("a", firstLayers)
	b := f.linkAgent("b", lastLayers)
	f.entry.Receive(a, wire.Load{Target: "a", Ready: true, Limit: 1, Version: "oak-1", Layers: firstLayers})
	b.silent = true // the first request keeps the only slot
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.post("/v1/completions", `{"model":"oak","prompt":"x","max_tokens":2}`)
	}()
	for f.entry.openCount("a") == 0 {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	resp, body := f.post("/v1/completions", `{"model":"oak","prompt":"x"}`)
	code, outcome := decodeError(t, body)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(code, "Overloaded")
	is.Equal(outcome, "NotRun")
	is.True(time.Since(begin) < time.Second)
	b.mu.Lock()
	b.silent = false
	b.mu.Unlock()
	f.entry.LinkDown(a, nil)
	f.entry.LinkUp(a) // the chain is opened again
	<-ended
}
