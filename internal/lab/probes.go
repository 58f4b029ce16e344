package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"shallotcourse/internal/agent"
	"shallotcourse/internal/board"
	"shallotcourse/internal/entry"
	"shallotcourse/internal/link"
	"shallotcourse/internal/opapi"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const operatorKey = "lab-operator-key"

type (
	// countingPeer is a link.Peer that only counts the encoded bytes sent to
	// it.
	countingPeer struct {
		hello wire.Hello
		bytes *atomic.Uint64
		done  chan struct{}
	}

	// noLinks opens no connections; peers are linked by calls of LinkUp.
	noLinks struct{}

	// bytesTokenizer is the tokenizer of package token.
	bytesTokenizer struct{}
)

var _ link.Peer = countingPeer{}

// Hello implements link.Peer.
func (p countingPeer) Hello() wire.Hello { return p.hello }

// Send implements link.Peer.
func (p countingPeer) Send(m wire.Message) error {
	b, err := wire.Encode(m)
	p.bytes.Add(uint64(len(b)))
	return err
}

// Close implements link.Peer.
func (p countingPeer) Close(error) {}

// Done implements link.Peer.
func (p countingPeer) Done() <-chan struct{} { return p.done }

// Want implements entry.Links and agent.Dialer.
func (noLinks) Want(string) {}

// Unwant implements entry.Links and agent.Dialer.
func (noLinks) Unwant(string) {}

// Peer implements agent.Dialer.
func (noLinks) Peer(string) (link.Peer, bool) { return nil, false }

// Encode implements entry.Tokenizer.
func (bytesTokenizer) Encode(text string) []uint32 { return token.Encode(text) }

// Decode implements entry.Tokenizer.
func (bytesTokenizer) Decode(tokens []uint32) string { return token.Decode(tokens) }

// probes lists all probes with their sizes.
func probes(clock timer.Service) []probe {
	p := prober{clock}
	return []probe{
		{"target known to an entry", "target", []int{50, 100, 200, 400}, p.entryTargets},
		{"link held, idle, both ends", "link", []int{50, 100, 200, 300}, p.links},
		{"entry seen by an agent", "entry", []int{50, 100, 200, 400}, p.agentLinks},
		{"client account, one refused request/s", "account", []int{200, 400, 800, 1200}, p.accounts},
		{"resource in the store", "resource", []int{500, 1000, 2000, 4000}, p.resources},
		{"watcher at ten changes/s", "watcher", []int{8, 16, 32, 64}, p.watchers},
		{"configuration change a second", "change/s", []int{100, 200, 400, 800}, p.changes},
	}
}

// prober has a start function for each probe.
type prober struct{ clock timer.Service }

func targetSpec(i int) resrc.Target {
	return resrc.Target{
		DataCentre: fmt.Sprint("dc", i%7), Region: fmt.Sprint("r", i%3), Agent: fmt.Sprintf("127.0.0.1:%d", 20000+i),
		Accelerator: accelerators[i%len(accelerators)].name, Version: version, ChecksFencing: true,
		Layers: resrc.LayerRange{From: i % ranges * layers / ranges, To: (i%ranges + 1) * layers / ranges},
	}
}

func targetResources(n int) []resrc.Resource {
	out := []resrc.Resource{{Kind: resrc.KindModelVersion, Name: version, Revision: 1, Spec: resrc.ModelVersion{
		Model: "m", Layers: layers, Weights: "w", WeightBytes: 1,
	}}}
	for i := range n {
		out = append(out, resrc.Resource{Kind: resrc.KindTarget, Name: fmt.Sprintf("target-%04d", i), Revision: 1, Spec: targetSpec(i)})
	}
	return out
}

func (p prober) newEntry(ctx context.Context, s store.Snapshot) *entry.Entry {
	e := entry.New(entry.Config{
		Instance: "entry-1", Incarnation: "i", DataCentre: "dc0", Region: "r0", Timer: p.clock, Seed: 1,
		Snapshot: board.New(s), Links: noLinks{}, Tokenizer: bytesTokenizer{},
	})
	go e.Run(ctx)
	return e
}

// entryTargets links n agents to an entry; each reports its load every 200 ms.
func (p prober) entryTargets(ctx context.Context, n int) (probeRun, error) {
	e := p.newEntry(ctx, store.NewSnapshot(1, targetResources(n)))
	var sent atomic.Uint64
	peers := make([]countingPeer, n)
	loads := make([]wire.Load, n)
	for i := range peers {
		name := fmt.Sprintf("target-%04d", i)
		peers[i] = countingPeer{wire.Hello{Role: wire.RoleAgent, Instance: name, Target: name, Incarnation: name}, &sent, nil}
		loads[i] = wire.Load{
			Target: name, Open: i % 8, Limit: 64, Ready: true, StepTime: 7 * time.Millisecond,
			QueueDelay: time.Millisecond, Version: version, Layers: targetSpec(i).Layers,
		}
		e.LinkUp(peers[i])
	}
	report := func() {
		for i, peer := range peers {
			if b, err := wire.Encode(loads[i]); err == nil {
				sent.Add(uint64(len(b)))
				if m, err := wire.Decode(b); err == nil {
					e.Receive(peer, m)
				}
			}
		}
	}
	return probeRun{
		work:  func(window time.Duration) { p.runEvery(ctx, window, reportPeriod, report) },
		bytes: sent.Load, stop: func() { _ = e.OpenRequests() },
	}, nil
}

// runEvery calls f at an interval for the duration of the window.
func (p prober) runEvery(ctx context.Context, window, interval time.Duration, f func()) {
	for end := p.clock.Now().Add(window); p.clock.Now().Before(end); {
		start := p.clock.Now()
		f()
		if timer.Sleep(ctx, p.clock, interval-p.clock.Now().Sub(start)) != nil {
			return
		}
	}
}

// discardHandler ignores all link events and messages.
type discardHandler struct{}

// LinkUp implements link.Handler.
func (discardHandler) LinkUp(link.Peer) {}

// Receive implements link.Handler.
func (discardHandler) Receive(link.Peer, wire.Message) {}

// LinkDown implements link.Handler.
func (discardHandler) LinkDown(link.Peer, error) {}

// links opens n idle links over loopback within this process.
func (p prober) links(ctx context.Context, n int) (probeRun, error) {
	hello := func(name string) func() wire.Hello {
		return func() wire.Hello {
			return wire.Hello{Version: wire.Version, Role: wire.RoleAgent, Instance: name, Incarnation: name, Target: name}
		}
	}
	in := link.NewGroup(link.Config{Hello: hello("in"), Handler: discardHandler{}, Timer: p.clock})
	server := httptest.NewServer(in.Acceptor)
	stop := func() { in.Stop(); server.Close() }
	// A group opens at most one link to an address, so each link has its own
	// group.
	var out []*link.Group
	for i := range n {
		g := link.NewGroup(link.Config{Hello: hello(fmt.Sprint("out-", i)), Handler: discardHandler{}, Timer: p.clock})
		g.Want(server.Listener.Addr().String())
		out = append(out, g)
	}
	stopAll := func() {
		for _, g := range out {
			g.Stop()
		}
		stop()
	}
	for in.Stats().Links < n {
		if err := timer.Sleep(ctx, p.clock, 10*time.Millisecond); err != nil {
			stopAll()
			return probeRun{}, err
		}
	}
	return probeRun{bytes: func() uint64 { s := in.Stats(); return s.BytesIn + s.BytesOut }, stop: stopAll}, nil
}

// agentLinks links n entries to an agent, which reports its load to each of them.
func (p prober) agentLinks(ctx context.Context, n int) (probeRun, error) {
	ctx, cancel := context.WithCancel(ctx)
	a := agent.New(agent.Config{
		Target: "target-0000", Incarnation: "i", Timer: p.clock, Dialer: noLinks{},
		Config: board.New(store.NewSnapshot(1, targetResources(1))),
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = a.Run(ctx)
	}()
	var sent atomic.Uint64
	for i := range n {
		name := fmt.Sprint("entry-", i)
		a.LinkUp(countingPeer{wire.Hello{Role: wire.RoleEntry, Instance: name, Incarnation: name}, &sent, nil})
	}
	return probeRun{bytes: sent.Load, stop: func() { cancel(); <-ended }}, nil
}

// accounts sends one request per second for each of n client accounts. No target
// is linked, so every request is refused after the checks of the account's limits.
func (p prober) accounts(ctx context.Context, n int) (probeRun, error) {
	resources := targetResources(0)
	resources = append(resources, resrc.Resource{Kind: resrc.KindModel, Name: "m", Revision: 1, Spec: resrc.Model{Version: version, MaxTokens: 100}})
	key := func(i int) string { return fmt.Sprintf("lab-caller-key-%06d", i) }
	for i := range n {
		resources = append(resources, resrc.Resource{
			Kind: resrc.KindClientAccount, Name: fmt.Sprint("account-", i), Revision: 1,
			Spec: resrc.ClientAccount{KeyHashes: []string{opapi.HashKey(key(i))}, Weight: 1, RequestsPerSecond: 100, Burst: 100, Concurrency: 10},
		})
	}
	e := p.newEntry(ctx, store.NewSnapshot(1, resources))
	body, err := json.Marshal(struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
	}{"m", "x"})
	if err != nil {
		return probeRun{}, err
	}
	sendAll := func() {
		for i := range n {
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", bytes.NewReader(body))
			r.Header.Set("Authorization", "Bearer "+key(i))
			e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		}
	}
	return probeRun{work: func(window time.Duration) { p.runEvery(ctx, window, time.Second, sendAll) }, stop: func() { _ = e.OpenRequests() }}, nil
}

// resources fills a store with n targets.
func (p prober) resources(_ context.Context, n int) (probeRun, error) {
	s := store.New(nil, store.WithClock(p.clock))
	s.ApplySnapshot(store.NewSnapshot(1, targetResources(n)))
	return probeRun{stop: func() { _ = s.Snapshot() }}, nil
}

// targetChange returns the change with a revision, which replaces one of 100
// targets.
func targetChange(revision uint64) resrc.Change {
	name := fmt.Sprintf("target-%04d", revision%100)
	body, _ := json.Marshal(targetSpec(int(revision % 100)))
	return resrc.Change{
		Revision: revision, ID: fmt.Sprintf("change-%08d", revision), Actor: "lab", Operation: resrc.OperationPut,
		Kind: resrc.KindTarget, Name: name, Body: body,
	}
}

// watchers opens n watch streams and applies ten changes per second.
func (p prober) watchers(ctx context.Context, n int) (probeRun, error) {
	s := store.New(nil, store.WithClock(p.clock))
	s.ApplySnapshot(store.NewSnapshot(1, targetResources(100)))
	server := httptest.NewServer(opapi.New(opapi.Options{
		Store: s, Clock: p.clock, Operators: []opapi.Operator{{Name: "lab", KeyHash: opapi.HashKey(operatorKey)}},
	}))
	ctx, cancel := context.WithCancel(ctx)
	stop := func() { cancel(); server.Close() }
	var sent atomic.Uint64
	for range n {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/v1/watch", nil)
		if err != nil {
			stop()
			return probeRun{}, err
		}
		r.Header.Set("Authorization", "Bearer "+operatorKey)
		resp, err := server.Client().Do(r)
		if err != nil {
			stop()
			return probeRun{}, err
		}
		go func() {
			defer func() { _ = resp.Body.Close() }()
			for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
				sent.Add(uint64(len(lines.Bytes()) + 1))
			}
		}()
	}
	revision := uint64(1)
	apply := func() {
		revision++
		s.ApplyChanges([]resrc.Change{targetChange(revision)})
	}
	return probeRun{
		work:  func(window time.Duration) { p.runEvery(ctx, window, 100*time.Millisecond, apply) },
		bytes: sent.Load, stop: stop,
	}, nil
}

// changes applies n changes per second, one message each, to a store of 600
// targets. The heap grows with the store's change log, which is bounded.
func (p prober) changes(_ context.Context, n int) (probeRun, error) {
	s := store.New(nil, store.WithClock(p.clock))
	s.ApplySnapshot(store.NewSnapshot(1, targetResources(600)))
	var sent atomic.Uint64
	return probeRun{
		work: func(window time.Duration) {
			for i := range uint64(float64(n) * window.Seconds()) {
				b, err := wire.Encode(wire.Changes{Changes: []resrc.Change{targetChange(i + 2)}})
				if err != nil {
					return
				}
				sent.Add(uint64(len(b)))
				if m, err := wire.Decode(b); err == nil {
					s.ApplyChanges(m.(wire.Changes).Changes)
				}
			}
		},
		bytes: sent.Load, stop: func() { _ = s.Snapshot() },
	}, nil
}
