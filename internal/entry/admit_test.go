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

// entryPeer is the link of one entry to another, in memory.
type entryPeer struct {
	from, to string
	world    map[string]*world
	mu       sync.Mutex
	cut      bool
}

func (p *entryPeer) Hello() wire.Hello     { return wire.Hello{Role: wire.RoleEntry, Instance: p.to} }
func (p *entryPeer) Close(error)           {}
func (p *entryPeer) Done() <-chan struct{} { return nil }
func (p *entryPeer) Send(m wire.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		p.world[p.to].entry.Receive(&entryPeer{from: p.to, to: p.from, world: p.world}, m)
	}
	return nil
}

// Guards against an account that gets more than its limit because its callers
// spread over entries, or far less while only one entry is used, and against an
// account that stops when the owner of its quota is gone.
func TestQuota(t *testing.T) {
	is := is.New(t)
	worlds := map[string]*world{}
	for _, name := range []string{"e1", "e2"} {
		worlds[name] = newWorld(t, Bounds{}, name)
	}
	var links []*entryPeer
	for _, pair := range [][2]string{{"e1", "e2"}, {"e2", "e1"}} {
		p := &entryPeer{from: pair[0], to: pair[1], world: worlds}
		worlds[pair[0]].entry.LinkUp(p)
		links = append(links, p)
	}
	rate := func(name string) float64 {
		a := worlds[name].entry.admit
		a.mu.Lock()
		defer a.mu.Unlock()
		spec := resrc.ClientAccount{RequestsPerSecond: 1000, Burst: 100, Concurrency: 50}
		return a.account("acme", spec, time.Now()).rates.PerSecond
	}
	use := func(name string) { worlds[name].post("/v1/completions", `{"model":"oak","prompt":"x"}`) }
	use("e1")
	is.Equal(rate("e1"), 500.0) // without a loan: the limit over the entries
	deadline := time.Now().Add(5 * time.Second)
	for rate("e1") <= 500 && time.Now().Before(deadline) {
		use("e1")
		time.Sleep(20 * time.Millisecond)
	}
	is.True(rate("e1") > 500) // a part of what e2 does not want is lent
	is.True(rate("e1")+rate("e2") <= 1500)
	for _, p := range links {
		p.mu.Lock()
		p.cut = true
		p.mu.Unlock()
	}
	time.Sleep(limit.QuotaPeriod)
	is.True(rate("e1") == 500 || rate("e2") == 500) // the borrower falls back
}

// Guards against an account beyond its rate, and against a refusal without a
// hint when to come back.
func TestAccountLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{})
	limited := 0
	for range 20 {
		resp, b := w.post("/v1/completions", `{"model":"oak","prompt":"x"}`, "Authorization", "Bearer key-slow")
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
	is.True(limited >= 16) // two at once, then one in a second
}

// Guards against a queue that hides an overload: a request whose turn cannot
// come in time is refused before its deadline has passed.
func TestOverload(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{Concurrency: 1, Queue: 2, FirstToken: 300 * time.Millisecond})
	a := w.up("a", front)
	b := w.up("b", back)
	w.entry.Receive(a, wire.Load{Target: "a", Ready: true, Limit: 1, Version: "oak-1", Layers: front})
	b.mute = true // the first request holds the only place
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.post("/v1/completions", `{"model":"oak","prompt":"x","max_tokens":2}`)
	}()
	for w.entry.ownCount("a") == 0 {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	resp, body := w.post("/v1/completions", `{"model":"oak","prompt":"x"}`)
	code, outcome := decodeError(t, body)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(code, "Overloaded")
	is.Equal(outcome, "NotRun")
	is.True(time.Since(begin) < time.Second)
	b.mu.Lock()
	b.mute = false
	b.mu.Unlock()
	w.entry.LinkDown(a, nil)
	w.entry.LinkUp(a) // the chain is opened again
	<-ended
}
