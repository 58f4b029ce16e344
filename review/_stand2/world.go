package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	apiKey     = "key-of-acme"
	caseLimit  = 110 * time.Second
	startLimit = 20 * time.Second
	// heartbeat is the interval at which engines write their row; the row of a silent one
	// is removed after three intervals.
	heartbeat = 1200 * time.Millisecond
	contracts = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers"
)

// errNotRun is the result of a case that could not run.
type errNotRun struct{ error }

// world holds the processes and the store of one case.
type world struct {
	dir     string
	trouble bool
	record  *os.File
	began   time.Time
	store   *metadataStore
	// objective is that of the routes; 0 is half a second.
	objective time.Duration
	// tenants is the number of tenants beside acme.
	tenants int

	mu       sync.Mutex
	procs    []*proc
	engines  []*engineProc
	gateways []*gateway
}

type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

type gateway struct {
	*proc
	callers, ready, ops, links string
}

type engineProc struct {
	*proc
	id, address, zone, service string
	// lost is the time since which the engine has not answered.
	lost   time.Time
	listed bool
	last   string
}

// runCase runs a case and returns the exit status: 0 if the rule held, 1 if it was broken, 2
// if the case could not run.
func runCase(f func(*world) (broken bool, err error)) int {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if w.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.record.Close()
	if w.dir, err = os.MkdirTemp("", "stand2-"); err != nil {
		w.note("cannot run: %v", err)
		return 2
	}
	defer os.RemoveAll(w.dir)
	defer w.stop()
	result := make(chan int, 1)
	go func() {
		broken, err := f(w)
		switch {
		case err != nil:
			w.note("the case could not run: %v", err)
			result <- 2
		case broken:
			w.note("result: the rule was broken")
			result <- 1
		default:
			w.note("result: the rule held")
			result <- 0
		}
	}()
	select {
	case r := <-result:
		return r
	case <-time.After(caseLimit):
		w.note("the case could not run: the time is over")
		return 2
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startStore starts the store and writes the operator's first configuration.
func (w *world) startStore(routeTimeout time.Duration) error {
	var err error
	if w.store, err = newStore(); err != nil {
		return err
	}
	w.writeConfig(1, routeTimeout, apiKey)
	return nil
}

// tenantKey returns the key of one of the further tenants.
func tenantKey(n int) string { return fmt.Sprintf("key-of-tenant-%d", n) }

// writeConfig writes a version of the operator's configuration.
func (w *world) writeConfig(version int, routeTimeout time.Duration, keys ...string) {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": strings.Trim(prefix, "/"), "host": "site.example", "prefix": prefix, "kind": kind, "timeoutMs": routeTimeout.Milliseconds(),
			"targetLatencyMs": cmp.Or(w.objective, 500*time.Millisecond).Milliseconds(), "targetGapMs": 200, "priority": 1, "service": service, "maxAttempts": 2, "resumable": kind == "stream",
			"sticky": kind == "stream",
		}
	}
	tenants := []any{map[string]any{"name": "acme", "apiKeys": keys}}
	for n := range w.tenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", n), "apiKeys": []string{tenantKey(n)}})
	}
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes":  []any{route("/draft/", "stream", "llm"), route("/look/", "safe", "plain"), route("/register/", "unsafe", "plain")},
		"services": []any{
			map[string]any{"name": "plain", "maxConnections": 100, "healthPath": "/healthz"},
			map[string]any{"name": "llm", "maxConnections": 1000, "healthPath": "/healthz", "engine": map[string]any{
				"slots": 192, "kvTokenBytes": 8000, "layers": 8, "layerMb": 100, "step_ms": 1, "per_seq_ms": 0.01, "context_per_k": 0.01, "stride": 1,
				"chunk": 512, "read_per_s": 100000, "loads_at_once": 5, "activationBytes": 10, "usual": map[string]any{"prompt": 10, "answer": 40},
				"models": []any{map[string]any{"name": "m", "loadS": 1}}, "pipeMbps": 18000, "linkMbps": 10000, "stall_ms": 2000,
				"kinds": []any{map[string]any{"name": "card", "mb": 2000, "pace": 1, "readX": 1}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

func (w *world) start(name string, env []string, path string, args ...string) (*proc, error) {
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &proc{name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = log, log, env
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends all processes that the case started.
func (w *world) stop() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.done
	}
	if d := os.Getenv("KEEP_LOGS"); d != "" {
		_ = os.CopyFS(d, os.DirFS(w.dir))
	}
}

// startGateway starts a gateway with the command of the deploy file and the settings that its
// template gives, and waits until it is ready.
func (w *world) startGateway(name, zone string, memoryMb int) (*gateway, error) {
	g := &gateway{}
	for _, a := range []*string{&g.callers, &g.ready, &g.ops, &g.links} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf(`Instance = %q
DataCentre = %q
Listen = %q
ReadyListen = %q
ReadyPath = "/shallotcourse/readyz"
LinkListen = %q
OpsListen = %q
Advertise = %[5]q
Store = %[7]q
FirstStart = false
MemoryMegabytes = %d
Processor = 0.304
KeyLife = "5000ms"
StallLimit = "2000ms"
StopTimeout = "8s"

[Repeats]
Window = "10s"
Ratio = 0.2
Slack = 202
`, name, zone, g.callers, g.ready, g.links, g.ops, w.store.address, memoryMb)
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	env := []string{"SHALLOTCOURSE_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	var err error
	g.proc, err = w.start(name, env, "target/shallotcourse", "gateway", "--drain=2000ms", "--config-apply=2000ms", "--contracts="+contracts)
	if err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, w.await("the gateway "+name+" is ready", func() bool {
		resp, err := http.Get("http://" + g.ready + "/shallotcourse/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// await waits for a condition.
func (w *world) await(what string, done func() bool) error {
	for end := time.Now().Add(startLimit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("not in time: " + what)
		}
	}
	return nil
}

// startEngine starts a model engine as a process, and writes its row at each heartbeat until
// it has been silent for three of them.
func (w *world) startEngine(id, zone string, args ...string) (*engineProc, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProc{id: id, address: address, zone: zone}
	if e.proc, err = w.start(id, nil, self, append([]string{"engine", "--id", id, "--listen", address}, args...)...); err != nil {
		return nil, err
	}
	if err := w.await("engine "+id, func() bool { _, err := e.report(); return err == nil }); err != nil {
		return nil, err
	}
	w.engines = append(w.engines, e)
	w.heartbeat(e)
	go func() {
		for !w.heartbeat(e) {
			time.Sleep(heartbeat / 4)
		}
	}()
	return e, nil
}

func (e *engineProc) report() (map[string]any, error) {
	c := http.Client{Timeout: heartbeat}
	resp, err := c.Get("http://" + e.address + "/shallotcourse/report")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out map[string]any
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// heartbeat writes the row of an engine if it has changed. It returns true once the row has
// been removed.
func (w *world) heartbeat(e *engineProc) bool {
	r, err := e.report()
	if err != nil {
		if e.lost.IsZero() {
			e.lost = time.Now()
		}
		if time.Since(e.lost) >= 3*heartbeat {
			w.store.remove("servers", e.id)
			w.note("the row of %s is removed", e.id)
			return true
		}
		return false
	}
	e.lost = time.Time{}
	row := map[string]any{
		"service": "llm", "address": e.address, "zone": e.zone, "version": 1, "slots": 192, "state": "ready", "kind": "card",
		"born": r["born"], "sequence": 1, "coldRemainingMs": 0,
	}
	if r["layers"] != nil {
		row["layers"] = r["layers"]
	}
	b, _ := json.Marshal(row)
	if string(b) != e.last {
		e.last = string(b)
		w.store.put("servers", e.id, row)
	}
	return false
}

// layersHeld reports whether at least n engines hold all layers.
func (w *world) layersHeld(n, layers int) bool {
	held := 0
	for _, e := range w.engines {
		if r, err := e.report(); err == nil {
			if l, ok := r["layers"].(map[string]any); ok && l["from"] == 0.0 && l["to"] == float64(layers) {
				held++
			}
		}
	}
	return held >= n
}

// answer is what a caller has received on its channel.
type answer struct {
	status int
	header http.Header
	body   []byte
	// framed is true if the answer has a length or chunks, so that its end can be told from
	// that of its channel, and whole is true if that end was received.
	framed, whole bool
	err           error
}

// call sends one request on a channel of its own. seen is called with the body so far.
func call(address, method, path, id, body string, deadline time.Duration, header map[string]string, seen func([]byte)) answer {
	return callSlowly(address, method, path, id, body, deadline, header, nil, seen)
}

// callSlowly is like call, but calls beforeBody between the head and the body.
func callSlowly(address, method, path, id, body string, deadline time.Duration, header map[string]string, beforeBody func(), seen func([]byte)) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if header["Authorization"] == "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", apiKey)
	}
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if beforeBody != nil {
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return answer{err: err}
		}
		b.Reset()
		beforeBody()
	}
	b.WriteString(body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		a.body = append(a.body, buf[:n]...)
		if n > 0 && seen != nil {
			seen(a.body)
		}
		if err == io.EOF {
			a.whole = a.framed
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}
