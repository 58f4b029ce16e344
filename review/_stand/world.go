package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// contactTime is the bound contactMs and some slack: a machine is in touch once it has
// run for so long.
const contactTime = 4 * time.Second

// world is the deployment of one case.
type world struct {
	trouble bool
	start   time.Time
	dir     string
	store   *store

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	model    []*engine
	apps     []*engine
	closers  []func()

	bootstrap bool
	configVer int
	tenants   []map[string]any
	memoryMb  int
	// orderHost is the host of a route that is there only if it isn't empty.
	orderHost string
}

func newWorld(trouble bool) (*world, error) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, start: time.Now(), dir: dir, record: record, bootstrap: true, memoryMb: 284,
		tenants: []map[string]any{
			{"name": "acme", "apiKeys": []string{"key-acme"}, "priority": 1},
			{"name": "bolt", "apiKeys": []string{"key-bolt"}, "priority": 1},
		},
	}
	w.store = newStore()
	if err := w.serve(w.store, &w.store.address); err != nil {
		return nil, err
	}
	return w, nil
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to the terminal.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// loopback returns a random loopback address, so that each machine has its own.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
}

// serve serves a handler on a free port of a loopback address of its own.
func (w *world) serve(h http.Handler, address *string) error {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return err
	}
	*address = l.Addr().String()
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return nil
}

func (w *world) close() {
	for _, g := range w.gateways {
		g.end()
	}
	for _, c := range w.closers {
		c()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// writeConfig writes the next version of the operator's config.
func (w *world) writeConfig() int {
	w.configVer++
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "site.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 300,
			"priority": 2, "service": service, "maxAttempts": 1, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []any{
		route("draft", "stream", "llm", map[string]any{
			"timeoutMs": 20000, "targetLatencyMs": 500, "targetGapMs": 200, "priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true,
		}),
		route("register", "unsafe", "app", nil),
		route("lookup", "safe", "app", map[string]any{"maxAttempts": 2}),
	}
	if w.orderHost != "" {
		routes = append(routes, route("order", "unsafe", "app", map[string]any{"host": w.orderHost}))
	}
	w.store.put("op", "config", map[string]any{
		"version": w.configVer, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 978, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 192, "kvCapacityTokens": 100000, "kvTokenBytes": 8000, "linkMbps": 400000.0, "stride": 3,
				"models":  []any{map[string]any{"name": "m0", "pace": 1.0, "loadS": 2.0, "warmS": 1.0}},
				"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
				"report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 774, "answer": 203},
				"layers": 8, "layerMb": 100.0, "activationBytes": 45900, "pipeMbps": 18000.0,
				"kinds": []any{map[string]any{"name": "a100", "mb": 72000.0, "pace": 2.4, "readX": 3.2}},
			}},
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": w.tenants,
	})
	w.note("operator: config version %d, %d tenants", w.configVer, len(w.tenants))
	return w.configVer
}

// settings fills in the template of the deploy file.
func (w *world) settings(g *gateway) ([]byte, error) {
	text, err := os.ReadFile("deploy/gateway.toml")
	if err != nil {
		return nil, err
	}
	fields := map[string]any{
		"nodeName": g.name, "zone": g.zone, "listen.front": g.ip + ":8227", "listen.ready": g.ip + ":8220", "ip": g.ip, "internalPorts.0": 7340,
		"platform.address": w.store.address, "bootstrap": w.bootstrap, "limits.memoryMb": w.memoryMb, "limits.cpuShare": 0.304,
		"bounds.revokeMs": 5000, "bounds.stall_ms": 2000, "bounds.graceS": 8, "bounds.budgetWindowS": 10, "bounds.retryBudgetRatio": 0.2,
		"bounds.retrySlack": 202,
	}
	out := string(text)
	for name, value := range fields {
		b, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		out = strings.ReplaceAll(out, "{{"+name+"}}", fmt.Sprint(value))
		out = strings.ReplaceAll(out, "{{"+name+"|json}}", string(b))
	}
	if strings.Contains(out, "{{") {
		return nil, fmt.Errorf("the template has a field that the stand-in does not know: %s", out)
	}
	return []byte(out), nil
}

func (w *world) addGateways(n int) error {
	for i := range n {
		g := &gateway{world: w, name: fmt.Sprintf("front-%c-1", 'a'+i), zone: "zone-" + string(rune('a'+i)), ip: loopback()}
		g.file = filepath.Join(w.dir, g.name+".toml")
		w.gateways = append(w.gateways, g)
		if err := g.launch(); err != nil {
			return err
		}
	}
	go w.poll()
	return nil
}

// poll asks all gateways once a second whether they are ready, as the platform does.
func (w *world) poll() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		for _, g := range w.gateways {
			go func() {
				resp, err := client.Get("http://" + g.ip + ":8220/shallotcourse/readyz")
				if err == nil {
					_ = resp.Body.Close()
				}
				g.noteReady(err == nil && resp.StatusCode == http.StatusOK)
			}()
		}
	}
}

// waitReady waits until all gateways are ready and the model engines hold layers.
func (w *world) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, g := range w.gateways {
			ready = ready && g.inRotation()
		}
		for _, e := range w.model {
			ready = ready && e.loaded()
		}
		if ready {
			w.note("all gateways are ready")
			return true
		}
	}
	return false
}
