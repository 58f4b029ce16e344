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
	// testCluster runs one fake entry and any number of agents, each with a
	// fake engine or service, on an in-memory network.
	testCluster struct {
		t             testing.TB
		net           *memNet
		entry         *testEntry
		table         *memTable
		config        *board.Section[store.Snapshot]
		agentsStarted int
		targets       map[string]resrc.Target
	}

	// testAgent is a running agent with its fake target.
	testAgent struct {
		agent    *Agent
		endpoint *endpoint
		engine   *fengn.Engine
		service  *fserv.Service
		stage    wire.Stage
		stop     context.CancelFunc
		ended    chan struct{}
	}

	// testEntry is a fake entry that records the messages from agents.
	testEntry struct {
		endpoint *endpoint
		mu       sync.Mutex
		received []wire.Message
		wake     chan struct{}
	}

	// memTable is an in-memory table of the platform.
	memTable struct {
		mu   sync.Mutex
		rows map[string]plat.Row
		// answersToLose is the number of commits that will take effect but
		// return an error with an unknown outcome.
		answersToLose int
	}
)

func newTestCluster(t testing.TB) *testCluster {
	tc := &testCluster{
		t: t, net: newMemNet(), table: &memTable{rows: map[string]plat.Row{}}, targets: map[string]resrc.Target{},
		config: board.New(store.Snapshot{}),
	}
	tc.entry = &testEntry{wake: make(chan struct{}, 1)}
	tc.entry.endpoint = tc.net.addEndpoint(wire.Hello{Role: wire.RoleEntry, Incarnation: "entry"})
	tc.entry.endpoint.handler = tc.entry
	return tc
}

// declare adds a target to the configuration, or replaces it.
func (tc *testCluster) declare(name string, t resrc.Target) {
	t.DataCentre, t.Agent = "dc", "127.0.0.1:1"
	tc.targets[name] = t
	resources := []resrc.Resource{
		{Kind: resrc.KindModelVersion, Name: testVersion, Spec: resrc.ModelVersion{Model: "m", Layers: testLayers, Weights: "w", WeightBytes: 600}},
		{Kind: resrc.KindModelVersion, Name: "v2", Spec: resrc.ModelVersion{Model: "m", Layers: testLayers, Weights: "w", WeightBytes: 600}},
	}
	for name, spec := range tc.targets {
		resources = append(resources, resrc.Resource{Kind: resrc.KindTarget, Name: name, Spec: spec})
	}
	tc.config.Set(store.NewSnapshot(tc.config.Value().Revision+1, resources))
}

// startStage starts an agent whose engine has already loaded the layers, and
// waits until it is ready.
func (tc *testCluster) startStage(from, to int, cost time.Duration, change ...func(*Config)) *testAgent {
	layers := resrc.LayerRange{From: from, To: to}
	e := fengn.New(fengn.Config{
		Cost: fengn.Cost{Base: cost}, Held: engine.State{Version: testVersion, Layers: layers},
	})
	ta := tc.startAgent(e, layers, change...)
	tc.waitReady(ta)
	return ta
}

// startAgent starts an agent for a fake engine.
func (tc *testCluster) startAgent(e *fengn.Engine, layers resrc.LayerRange, change ...func(*Config)) *testAgent {
	server := httptest.NewServer(e.Handler())
	tc.t.Cleanup(server.Close)
	ta := tc.add(resrc.Target{Version: testVersion, Layers: layers}, append([]func(*Config){func(c *Config) {
		c.Engine = engine.NewClient(server.URL)
	}}, change...))
	ta.engine = e
	return ta
}

// startService starts an agent for a fake service.
func (tc *testCluster) startService(change ...func(*Config)) *testAgent {
	s := fserv.New(timer.System{})
	server := httptest.NewServer(s.Handler())
	tc.t.Cleanup(server.Close)
	ta := tc.add(resrc.Target{Service: "s"}, append([]func(*Config){func(c *Config) {
		c.Service = engine.NewService(server.URL)
	}}, change...))
	ta.service = s
	return ta
}

// add declares a target and starts its agent.
func (tc *testCluster) add(target resrc.Target, change []func(*Config)) *testAgent {
	tc.agentsStarted++
	name := "t" + strconv.Itoa(tc.agentsStarted)
	ta := &testAgent{stage: wire.Stage{Target: name, Address: name + ":1", Layers: target.Layers}, ended: make(chan struct{})}
	tc.declare(name, target)
	ta.endpoint = tc.net.addEndpoint(wire.Hello{Role: wire.RoleAgent, Incarnation: name + "-i", Target: name, Address: ta.stage.Address})
	cfg := Config{
		Target: name, Incarnation: name + "-i", Config: tc.config, Table: tc.table, Dialer: ta.endpoint,
		Times: Times{Observe: 10 * time.Millisecond, Neighbour: 100 * time.Millisecond, Report: 20 * time.Millisecond},
	}
	for _, f := range change {
		f(&cfg)
	}
	ta.agent = New(cfg)
	ta.endpoint.handler = ta.agent
	ctx, stop := context.WithCancel(context.Background())
	ta.stop = stop
	go func() {
		defer close(ta.ended)
		_ = ta.agent.Run(ctx)
	}()
	tc.t.Cleanup(func() {
		stop()
		tc.net.cut(ta.endpoint)
		ta.agent.endAllSessions()
		<-ta.ended
	})
	tc.entry.endpoint.dial(ta.stage.Address)
	return ta
}

// disconnect closes all links of an agent and refuses new ones, as if its
// process had been killed.
func (tc *testCluster) disconnect(ta *testAgent) { tc.net.cut(ta.endpoint) }

// cut closes all links of an endpoint and refuses new ones.
func (n *memNet) cut(e *endpoint) {
	n.mu.Lock()
	n.down[e.hello.Address] = true
	others := slices.Clone(n.endpoints)
	n.mu.Unlock()
	for _, o := range others {
		o.closeLinks(func(p *memPeer) bool { return o == e || p.remote == e })
	}
}

func (e *endpoint) closeLinks(match func(*memPeer) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.dialled {
		if match(p) {
			p.Close(nil)
		}
	}
}

func (tc *testCluster) waitReady(ta *testAgent) {
	tc.t.Helper()
	tc.eventually("agent is ready", func() bool { return ta.agent.currentLoad().Ready })
}

func (tc *testCluster) eventually(what string, f func() bool) {
	tc.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	tc.t.Fatalf("timed out after 5 s waiting for: %s", what)
}

// LinkUp implements link.Handler.
func (e *testEntry) LinkUp(link.Peer) {}

// LinkDown implements link.Handler.
func (e *testEntry) LinkDown(link.Peer, error) {}

// Receive implements link.Handler.
func (e *testEntry) Receive(_ link.Peer, m wire.Message) {
	e.mu.Lock()
	e.received = append(e.received, m)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *testEntry) send(ta *testAgent, m wire.Message) {
	if peer, ok := e.endpoint.Peer(ta.stage.Address); ok {
		_ = peer.Send(m)
	}
}

// awaitMessage waits for the first message that matches, and removes it from
// the recorded ones.
func awaitMessage[T wire.Message](tc *testCluster, match func(T) bool) T {
	tc.t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		tc.entry.mu.Lock()
		for i, m := range tc.entry.received {
			if x, ok := m.(T); ok && match(x) {
				tc.entry.received = append(tc.entry.received[:i], tc.entry.received[i+1:]...)
				tc.entry.mu.Unlock()
				return x
			}
		}
		tc.entry.mu.Unlock()
		select {
		case <-tc.entry.wake:
		case <-timeout:
			var zero T
			tc.t.Fatalf("no %T within 5 s", zero)
		}
	}
}

// Read implements plat.Table.
func (m *memTable) Read(_ context.Context, key string) (plat.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	if !ok {
		return r, errNotFound
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
			return errConflict
		}
	}
	for _, x := range t.Writes {
		m.rows[x.Key] = plat.Row{Key: x.Key, Version: m.rows[x.Key].Version + 1, Value: x.Value}
	}
	if m.answersToLose > 0 {
		m.answersToLose--
		return errAnswerLost
	}
	return nil
}
