package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotcourse/internal/board"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

type (
	// fixture is an entry with an HTTP server and in-memory agents.
	fixture struct {
		t      testing.TB
		entry  *Entry
		server *httptest.Server
		table  *memoryTable
		mu     sync.Mutex
		agents map[string]*fakeAgent
	}

	// fakeAgent is an in-memory agent with faults that the tests set.
	fakeAgent struct {
		fixture *fixture
		hello   wire.Hello
		layers  resrc.LayerRange
		done    chan struct{}
		// mu guards the fields below and keeps replies in order.
		mu sync.Mutex
		// nextPosition is the next position of each session, by request.
		nextPosition map[string]int
		// refuse makes the agent refuse Open.
		refuse bool
		// crashAt is the position of the token at which the agent crashes
		// instead of sending it.
		crashAt int
		// dropCall discards calls before the agent receives them; silent makes
		// the agent run calls without sending their outcome, and generate no
		// tokens.
		dropCall, silent bool
		crashed          bool
		outcomes         map[string]wire.Outcome
		effects          int
	}

	// byteTokenizer encodes each byte as one token.
	byteTokenizer struct{}

	// noLinks implements Links without connecting.
	noLinks struct{}

	// memoryTable is an in-memory plat.Table. The next loseReplies commits take
	// effect, but return an error.
	memoryTable struct {
		mu          sync.Mutex
		rows        map[string]plat.Row
		loseReplies int
		down        bool
	}
)

func (byteTokenizer) Encode(s string) []uint32 {
	var out []uint32
	for _, b := range []byte(s) {
		out = append(out, uint32(b))
	}
	return out
}

func (byteTokenizer) Decode(tokens []uint32) string {
	b := make([]byte, 0, len(tokens))
	for _, t := range tokens {
		b = append(b, byte(t))
	}
	return string(b)
}

func (noLinks) Want(string)   {}
func (noLinks) Unwant(string) {}

func newFixture(t testing.TB, bounds Bounds, names ...string) *fixture {
	name := append(names, "e1")[0]
	hash := func(key string) []string {
		sum := sha256.Sum256([]byte(key))
		return []string{hex.EncodeToString(sum[:])}
	}
	resources := []resrc.Resource{
		{Kind: resrc.KindModel, Name: "oak", Spec: resrc.Model{Version: "oak-1", MaxTokens: 64}},
		{Kind: resrc.KindModelVersion, Name: "oak-1", Spec: resrc.ModelVersion{Model: "oak", Layers: 4}},
		{Kind: resrc.KindService, Name: "ledger", Spec: resrc.Service{
			Timeout: resrc.Duration(2 * time.Second),
			Rules:   []resrc.Rule{{Method: "GET", PathPrefix: "/rolls", Repeatable: true}},
		}},
		{Kind: resrc.KindClientAccount, Name: "acme", Spec: resrc.ClientAccount{
			KeyHashes: hash("key-1"), Weight: 1, RequestsPerSecond: 1000, Burst: 100, Concurrency: 50,
		}},
		{Kind: resrc.KindClientAccount, Name: "slow", Spec: resrc.ClientAccount{
			KeyHashes: hash("key-slow"), Weight: 1, RequestsPerSecond: 1, Burst: 2, Concurrency: 50,
		}},
	}
	for name, layers := range map[string]resrc.LayerRange{"a": {From: 0, To: 2}, "b": {From: 2, To: 4}, "c": {From: 2, To: 4}} {
		resources = append(resources, resrc.Resource{Kind: resrc.KindTarget, Name: name, Spec: resrc.Target{
			DataCentre: "d", Agent: "127.0.0.1:1", Version: "oak-1", Layers: layers,
		}})
	}
	for _, name := range []string{"s", "u"} {
		resources = append(resources, resrc.Resource{Kind: resrc.KindTarget, Name: name, Spec: resrc.Target{
			DataCentre: "d", Agent: "127.0.0.1:1", Service: "ledger",
		}})
	}
	f := &fixture{t: t, table: &memoryTable{rows: map[string]plat.Row{}}, agents: map[string]*fakeAgent{}}
	f.entry = New(Config{
		Instance: name, DataCentre: "d", Timer: timer.System{}, Links: noLinks{}, Table: f.table,
		Snapshot: board.New(store.NewSnapshot(1, resources)), Tokenizer: byteTokenizer{}, Seed: 1, Bounds: bounds,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); f.entry.Run(ctx) }()
	f.server = httptest.NewServer(f.entry.Handler())
	t.Cleanup(func() { f.server.Close(); cancel(); <-ended })
	return f
}

// linkAgent links an agent that is ready for work. A second one with the same
// name is a new incarnation.
func (f *fixture) linkAgent(name string, layers resrc.LayerRange) *fakeAgent {
	a := &fakeAgent{
		fixture: f, layers: layers, done: make(chan struct{}), nextPosition: map[string]int{}, crashAt: -1,
		hello:    wire.Hello{Role: wire.RoleAgent, Instance: name, Incarnation: newID(), Target: name},
		outcomes: map[string]wire.Outcome{},
	}
	f.mu.Lock()
	f.agents[name] = a
	f.mu.Unlock()
	f.entry.LinkUp(a)
	f.entry.Receive(a, wire.Load{Target: name, Ready: true, Limit: 8, Version: "oak-1", Layers: layers})
	return a
}

func (f *fixture) post(path, body string, header ...string) (*http.Response, string) {
	req, _ := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader(body))
	return f.do(req, header...)
}

func (f *fixture) do(req *http.Request, header ...string) (*http.Response, string) {
	req.Header.Set("Authorization", "Bearer key-1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp, string(b)
}

func (a *fakeAgent) Hello() wire.Hello     { return a.hello }
func (a *fakeAgent) Close(error)           {}
func (a *fakeAgent) Done() <-chan struct{} { return a.done }

// dropLink ends the link; sessions and outcomes are kept.
func (a *fakeAgent) dropLink() { a.fixture.entry.LinkDown(a, fault.New(fault.Unavailable, "cut")) }

func (a *fakeAgent) Send(m wire.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.crashed {
		return fault.New(fault.Unavailable, "agent has crashed")
	}
	switch m := m.(type) {
	case wire.Open:
		if a.refuse {
			a.reply(wire.Refused{Request: m.Request, Attempt: m.Attempt, Index: m.Index, Reason: wire.RefusedFull})
			return nil
		}
		a.reply(wire.Opened{Request: m.Request, Attempt: m.Attempt, Index: m.Index, Next: a.nextPosition[m.Request]})
	case wire.Start:
		if a.layers.To == 4 && !a.silent {
			a.generate(m)
		}
	case wire.Call:
		if !a.dropCall {
			a.effects++
			a.outcomes[m.Nonce] = wire.Outcome{ID: m.ID, Nonce: m.Nonce, State: wire.OutcomeDone, Status: 201, Body: []byte("done " + m.Path)}
		}
		if !a.silent && !a.dropCall {
			a.reply(a.outcomes[m.Nonce])
		}
	case wire.Query:
		o, ok := a.outcomes[m.Nonce]
		if !ok {
			o = wire.Outcome{ID: m.ID, Nonce: m.Nonce, State: wire.OutcomeNeverSeen}
		}
		a.reply(o)
	}
	return nil
}

// reply is called with the lock held, so Receive must not call Send. It does so
// only for tokens of ended requests, and the request of these tokens is still
// open, since its goroutine is in Send.
func (a *fakeAgent) reply(m wire.Message) { a.fixture.entry.Receive(a, m) }

// generate sends the tokens 'a', 'b', ... by position.
func (a *fakeAgent) generate(m wire.Start) {
	for p := m.Emitted; p < m.Emitted+40; p++ {
		if p == a.crashAt {
			a.crashed = true
			go a.dropLink()
			return
		}
		a.reply(wire.Token{Request: m.Request, Attempt: m.Attempt, Position: p, Value: uint32('a' + p%26)})
	}
}

func (t *memoryTable) Read(_ context.Context, key string) (plat.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[key]
	switch {
	case t.down:
		return r, fault.New(fault.Unavailable, "down")
	case !ok:
		return r, fault.New(fault.NotFound, "no row")
	}
	return r, nil
}

func (t *memoryTable) List(context.Context, string, string, int) ([]plat.Row, error) { return nil, nil }

func (t *memoryTable) Commit(_ context.Context, x plat.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return fault.New(fault.Unavailable, "down").WithOutcome(fault.Unknown)
	}
	for _, c := range x.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return fault.New(fault.Conflict, "version")
		}
	}
	for _, w := range x.Writes {
		t.rows[w.Key] = plat.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
	}
	if t.loseReplies > 0 {
		t.loseReplies--
		return fault.New(fault.Unavailable, "answer lost").WithOutcome(fault.Unknown)
	}
	return nil
}

func decodeError(t *testing.T, s string) (code, outcome string) {
	var b struct {
		Error struct{ Code, Outcome string }
	}
	if err := json.Unmarshal([]byte(s), &b); err != nil {
		t.Fatalf("%v: %s", err, s)
	}
	return b.Error.Code, b.Error.Outcome
}
