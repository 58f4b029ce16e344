package agent

import (
	"context"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"shallotcourse/internal/board"
	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fakes/fserv"
	"shallotcourse/internal/link"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	testVersion = "v1"
	testLayers  = 6
)

type (
	// world is an entry and agents with their stand-ins.
	world struct {
		t       testing.TB
		net     *memNet
		entry   *testEntry
		table   *memTable
		config  *board.Section[store.Snapshot]
		serial  int
		targets map[string]resrc.Target
	}

	// place is an agent with its target.
	place struct {
		agent  *Agent
		end    *end
		engine *fengn.Engine
		serv   *fserv.Service
		stage  wire.Stage
		stop   context.CancelFunc
		ended  chan struct{}
	}

	// testEntry records what agents send.
	testEntry struct {
		end  *end
		mu   sync.Mutex
		got  []wire.Message
		wake chan struct{}
	}

	// memTable is a table in memory.
	memTable struct {
		mu   sync.Mutex
		rows map[string]plat.Row
		// lose makes the next commits take effect without an answer.
		lose int
	}
)

func newWorld(t testing.TB) *world {
	w := &world{
		t: t, net: newMemNet(), table: &memTable{rows: map[string]plat.Row{}}, targets: map[string]resrc.Target{},
		config: board.New(store.Snapshot{}),
	}
	w.entry = &testEntry{wake: make(chan struct{}, 1)}
	w.entry.end = w.net.join(wire.Hello{Role: wire.RoleEntry, Incarnation: "entry"})
	w.entry.end.handler = w.entry
	return w
}

// declare puts a target into the configuration.
func (w *world) declare(name string, t resrc.Target) {
	t.DataCentre, t.Agent = "dc", "127.0.0.1:1"
	w.targets[name] = t
	resources := []resrc.Resource{
		{Kind: resrc.KindModelVersion, Name: testVersion, Spec: resrc.ModelVersion{Model: "m", Layers: testLayers, Weights: "w", WeightBytes: 600}},
		{Kind: resrc.KindModelVersion, Name: "v2", Spec: resrc.ModelVersion{Model: "m", Layers: testLayers, Weights: "w", WeightBytes: 600}},
	}
	for name, spec := range w.targets {
		resources = append(resources, resrc.Resource{Kind: resrc.KindTarget, Name: name, Spec: spec})
	}
	w.config.Set(store.NewSnapshot(w.config.Value().Revision+1, resources))
}

// stage starts an agent whose engine already holds the layers.
func (w *world) stage(from, to int, cost time.Duration, change ...func(*Config)) *place {
	layers := resrc.LayerRange{From: from, To: to}
	e := fengn.New(fengn.Config{
		Cost: fengn.Cost{Base: cost}, Held: engine.State{Version: testVersion, Layers: layers},
	})
	p := w.start(e, layers, change...)
	w.waitReady(p)
	return p
}

func (w *world) start(e *fengn.Engine, layers resrc.LayerRange, change ...func(*Config)) *place {
	server := httptest.NewServer(e.Handler())
	w.t.Cleanup(server.Close)
	p := w.add(resrc.Target{Version: testVersion, Layers: layers}, append([]func(*Config){func(c *Config) {
		c.Engine = engine.NewClient(server.URL)
	}}, change...))
	p.engine = e
	return p
}

func (w *world) service(change ...func(*Config)) *place {
	s := fserv.New(timer.System{})
	server := httptest.NewServer(s.Handler())
	w.t.Cleanup(server.Close)
	p := w.add(resrc.Target{Service: "s"}, append([]func(*Config){func(c *Config) {
		c.Service = engine.NewService(server.URL)
	}}, change...))
	p.serv = s
	return p
}

func (w *world) add(target resrc.Target, change []func(*Config)) *place {
	w.serial++
	name := "t" + strconv.Itoa(w.serial)
	p := &place{stage: wire.Stage{Target: name, Address: name + ":1", Layers: target.Layers}, ended: make(chan struct{})}
	w.declare(name, target)
	p.end = w.net.join(wire.Hello{Role: wire.RoleAgent, Incarnation: name + "-i", Target: name, Address: p.stage.Address})
	cfg := Config{
		Target: name, Incarnation: name + "-i", Config: w.config, Table: w.table, Dialer: p.end,
		Times: Times{Observe: 10 * time.Millisecond, Neighbour: 100 * time.Millisecond, Report: 20 * time.Millisecond},
	}
	for _, f := range change {
		f(&cfg)
	}
	p.agent = New(cfg)
	p.end.handler = p.agent
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		defer close(p.ended)
		_ = p.agent.Run(ctx)
	}()
	w.t.Cleanup(func() {
		stop()
		w.net.cut(p.end)
		p.agent.freeAll()
		<-p.ended
	})
	w.entry.end.dial(p.stage.Address)
	return p
}

// kill takes an agent off the network at once.
func (w *world) kill(p *place) { w.net.cut(p.end) }

// cut closes all links of a process and refuses new ones.
func (n *memNet) cut(e *end) {
	n.mu.Lock()
	n.down[e.hello.Address] = true
	others := slices.Clone(n.ends)
	n.mu.Unlock()
	for _, o := range others {
		o.closeLinks(func(p *memPeer) bool { return o == e || p.remote == e })
	}
}

func (e *end) closeLinks(which func(*memPeer) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.dialled {
		if which(p) {
			p.Close(nil)
		}
	}
}

func (w *world) waitReady(p *place) {
	w.t.Helper()
	w.eventually("agent is ready", func() bool { return p.agent.load().Ready })
}

func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("not within 5 s: %s", what)
}

// LinkUp implements link.Handler.
func (e *testEntry) LinkUp(link.Peer) {}

// LinkDown implements link.Handler.
func (e *testEntry) LinkDown(link.Peer, error) {}

// Receive implements link.Handler.
func (e *testEntry) Receive(_ link.Peer, m wire.Message) {
	e.mu.Lock()
	e.got = append(e.got, m)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *testEntry) send(p *place, m wire.Message) {
	if peer, ok := e.end.Peer(p.stage.Address); ok {
		_ = peer.Send(m)
	}
}

// next returns the first message that matches and drops it.
func next[T wire.Message](w *world, match func(T) bool) T {
	w.t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		w.entry.mu.Lock()
		for i, m := range w.entry.got {
			if x, ok := m.(T); ok && match(x) {
				w.entry.got = append(w.entry.got[:i], w.entry.got[i+1:]...)
				w.entry.mu.Unlock()
				return x
			}
		}
		w.entry.mu.Unlock()
		select {
		case <-w.entry.wake:
		case <-timeout:
			var zero T
			w.t.Fatalf("no %T within 5 s", zero)
		}
	}
}

// Read implements plat.Table.
func (m *memTable) Read(_ context.Context, key string) (plat.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	if !ok {
		return r, notFound
	}
	return r, nil
}

// List implements plat.Table.
func (m *memTable) List(context.Context, string, string, int) ([]plat.Row, error) { return nil, nil }

// Commit implements plat.Table.
func (m *memTable) Commit(_ context.Context, t plat.Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range t.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return conflict
		}
	}
	for _, x := range t.Writes {
		m.rows[x.Key] = plat.Row{Key: x.Key, Version: m.rows[x.Key].Version + 1, Value: x.Value}
	}
	if m.lose > 0 {
		m.lose--
		return unknown
	}
	return nil
}
