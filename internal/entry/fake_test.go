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
	// world is a set of in-memory agents in front of one entry.
	world struct {
		t      testing.TB
		entry  *Entry
		server *httptest.Server
		table  *table
		mu     sync.Mutex
		agents map[string]*agent
	}

	// agent answers as an agent would, with scripted faults.
	agent struct {
		world *world
		hello wire.Hello
		layer resrc.LayerRange
		done  chan struct{}
		// mu guards all below and keeps answers in order.
		mu sync.Mutex
		// next is the session cursor by request.
		next map[string]int
		// refuse answers Open with a refusal.
		refuse bool
		// dieAt ends the agent before it gives out the token at this position.
		dieAt int
		// dropCall loses calls on the way; mute runs them without an answer.
		dropCall, mute bool
		dead           bool
		journal        map[string]wire.Outcome
		effects        int
	}

	tokenBytes struct{}

	nowhere struct{}

	// table is a plat.Table in memory; lose makes that many commits take
	// effect without an answer.
	table struct {
		mu   sync.Mutex
		rows map[string]plat.Row
		lose int
		down bool
	}
)

func (tokenBytes) Encode(s string) []uint32 {
	var out []uint32
	for _, b := range []byte(s) {
		out = append(out, uint32(b))
	}
	return out
}

func (tokenBytes) Decode(tokens []uint32) string {
	b := make([]byte, 0, len(tokens))
	for _, t := range tokens {
		b = append(b, byte(t))
	}
	return string(b)
}

func (nowhere) Want(string)   {}
func (nowhere) Unwant(string) {}

func newWorld(t testing.TB, bounds Bounds, names ...string) *world {
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
	w := &world{t: t, table: &table{rows: map[string]plat.Row{}}, agents: map[string]*agent{}}
	w.entry = New(Config{
		Instance: name, DataCentre: "d", Timer: timer.System{}, Links: nowhere{}, Table: w.table,
		Snapshot: board.New(store.NewSnapshot(1, resources)), Tokenizer: tokenBytes{}, Seed: 1, Bounds: bounds,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.entry.Run(ctx) }()
	w.server = httptest.NewServer(w.entry.Handler())
	t.Cleanup(func() { w.server.Close(); cancel(); <-ended })
	return w
}

// up links an agent; a second one with the same name is a new incarnation.
func (w *world) up(name string, layers resrc.LayerRange) *agent {
	a := &agent{
		world: w, layer: layers, done: make(chan struct{}), next: map[string]int{}, dieAt: -1,
		hello:   wire.Hello{Role: wire.RoleAgent, Instance: name, Incarnation: newID(), Target: name},
		journal: map[string]wire.Outcome{},
	}
	w.mu.Lock()
	w.agents[name] = a
	w.mu.Unlock()
	w.entry.LinkUp(a)
	w.entry.Receive(a, wire.Load{Target: name, Ready: true, Limit: 8, Version: "oak-1", Layers: layers})
	return a
}

func (w *world) post(path, body string, header ...string) (*http.Response, string) {
	req, _ := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader(body))
	return w.do(req, header...)
}

func (w *world) do(req *http.Request, header ...string) (*http.Response, string) {
	req.Header.Set("Authorization", "Bearer key-1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return resp, string(b)
}

func (a *agent) Hello() wire.Hello     { return a.hello }
func (a *agent) Close(error)           {}
func (a *agent) Done() <-chan struct{} { return a.done }

// cut ends the link; the session and the journal stay.
func (a *agent) cut() { a.world.entry.LinkDown(a, fault.New(fault.Unavailable, "cut")) }

func (a *agent) Send(m wire.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead {
		return fault.New(fault.Unavailable, "dead")
	}
	switch m := m.(type) {
	case wire.Open:
		if a.refuse {
			a.answer(wire.Refused{Request: m.Request, Attempt: m.Attempt, Index: m.Index, Reason: wire.RefusedFull})
			return nil
		}
		a.answer(wire.Opened{Request: m.Request, Attempt: m.Attempt, Index: m.Index, Next: a.next[m.Request]})
	case wire.Start:
		if a.layer.To == 4 && !a.mute {
			a.generate(m)
		}
	case wire.Call:
		if !a.dropCall {
			a.effects++
			a.journal[m.Nonce] = wire.Outcome{ID: m.ID, Nonce: m.Nonce, State: wire.OutcomeDone, Status: 201, Body: []byte("done " + m.Path)}
		}
		if !a.mute && !a.dropCall {
			a.answer(a.journal[m.Nonce])
		}
	case wire.Query:
		o, ok := a.journal[m.Nonce]
		if !ok {
			o = wire.Outcome{ID: m.ID, Nonce: m.Nonce, State: wire.OutcomeNeverSeen}
		}
		a.answer(o)
	}
	return nil
}

// answer is called with the lock held; Receive never sends from its caller.
func (a *agent) answer(m wire.Message) { a.world.entry.Receive(a, m) }

// generate gives out tokens 'a', 'b', ... by position.
func (a *agent) generate(m wire.Start) {
	for p := m.Emitted; p < m.Emitted+40; p++ {
		if p == a.dieAt {
			a.dead = true
			go a.cut()
			return
		}
		a.answer(wire.Token{Request: m.Request, Attempt: m.Attempt, Position: p, Value: uint32('a' + p%26)})
	}
}

func (t *table) Read(_ context.Context, key string) (plat.Row, error) {
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

func (t *table) List(context.Context, string, string, int) ([]plat.Row, error) { return nil, nil }

func (t *table) Commit(_ context.Context, x plat.Txn) error {
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
	if t.lose > 0 {
		t.lose--
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
