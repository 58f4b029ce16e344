package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// engine is a model engine, or an engine of the plain service if model is false.
	engine struct {
		world   *world
		id      string
		zone    string
		model   bool
		address string
		born    int64
		// eventGap is the time between two events, readTime that before the first one, and
		// workTime that of a plain request.
		eventGap, workTime, readTime time.Duration
		slots                        int

		mu                  sync.Mutex
		from, to            int
		busy                bool
		sequence, heartbeat int64
		running             int
		stopped             bool
		// arrivals and runs count the requests by their IDs.
		arrivals, runs map[string]int
		accounts       map[string]string
		// spoil, if not nil, decides whether the answer to a request is spoiled, and
		// spoils it.
		spoil func(w http.ResponseWriter, r *http.Request) bool
	}
)

func (w *world) addEngine(id, zone string, model bool) (*engine, error) {
	e := &engine{
		world: w, id: id, zone: zone, model: model, born: time.Now().UnixMilli(), eventGap: 30 * time.Millisecond, workTime: 60 * time.Millisecond,
		readTime: 250 * time.Millisecond,
		slots:    6, arrivals: map[string]int{}, runs: map[string]int{}, accounts: map[string]string{},
	}
	if model {
		e.slots = 192
	}
	if err := w.serve(e, &e.address); err != nil {
		return nil, err
	}
	if model {
		w.model = append(w.model, e)
	} else {
		w.apps = append(w.apps, e)
	}
	e.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.beat()
		}
	}()
	return e, nil
}

// beat writes the engine's entry to the store.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.heartbeat++
	entry := map[string]any{
		"service": "app", "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "coldRemainingMs": 0,
		"sequence": e.heartbeat, "born": e.born,
	}
	if e.model {
		entry["service"], entry["stage"], entry["kind"] = "llm", "both", "a100"
		entry["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}
		if e.to > e.from {
			entry["layers"] = map[string]any{"from": e.from, "to": e.to, "version": 1}
		}
	}
	e.world.store.put("servers", e.id, entry)
}

func (e *engine) loaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.to > e.from && !e.busy
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", e.id)
	case e.model && r.URL.Path == "/shallotcourse/report":
		e.report(w)
	case e.model && r.URL.Path == "/shallotcourse/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}, "busy": e.busy,
		"sequence": e.sequence, "queued": 0, "running": e.running, "kvUsed": 0, "kvTotal": 8 * 100000, "handles": 0, "kind": "a100", "pace": 1.0,
		"born": e.born, "stalled": []any{},
	}
	if e.to > e.from {
		body["layers"] = map[string]any{"from": e.from, "to": e.to, "version": 1}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string `json:"op"`
		From, To     int
		Precondition *int64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Op == "repath":
		w.WriteHeader(http.StatusNotFound)
		return
	case o.Op != "place":
		w.WriteHeader(http.StatusBadRequest)
		return
	case o.Precondition != nil && *o.Precondition != e.sequence, e.busy:
		w.WriteHeader(http.StatusConflict)
		return
	case o.From == e.from && o.To == e.to:
		return
	}
	e.sequence++
	e.busy = true
	e.world.note("%s: ordered to hold layers %d to %d", e.id, o.From, o.To)
	go func() {
		time.Sleep(200 * time.Millisecond)
		e.mu.Lock()
		e.from, e.to, e.busy = o.From, o.To, false
		e.mu.Unlock()
		e.beat()
	}()
	w.WriteHeader(http.StatusAccepted)
}

// request serves a request of a client.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.arrivals[id]++
	full := e.running >= e.slots+24
	if !full {
		e.running++
		defer func() {
			e.mu.Lock()
			e.running--
			e.mu.Unlock()
		}()
	}
	spoil := e.spoil
	e.mu.Unlock()
	if full {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.world.note("%s: request %s arrives, %d bytes, tenant %q", e.id, id, len(body), r.Header.Get("Tenant-Id"))
	if spoil != nil && spoil(w, r) {
		return
	}
	if e.model {
		e.stream(w, r, id)
		return
	}
	e.plain(w, r, id)
}

func (e *engine) plain(w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	e.runs[id]++
	e.accounts[id] = r.Header.Get("Tenant-Id")
	e.mu.Unlock()
	e.world.note("%s: request %s runs", e.id, id)
	select {
	case <-time.After(e.workTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answerOf(id))))
	_, _ = io.WriteString(w, answerOf(id))
}

// answerOf is the whole answer to a plain request.
func answerOf(id string) string { return id + strings.Repeat(".", 800-len(id)) }

// eventsOf is the number of events of a stream, the same at all engines.
func eventsOf(id string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return 20 + int(h.Sum32()%40)
}

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	if address := e.refusing(r.Header.Get("Hop-Count")); address != "" {
		w.Header().Set("Request-Id", id)
		w.Header().Set("At-Server", address)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(e.readTime):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(w)
	for n := first + 1; n <= eventsOf(id); n++ {
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-time.After(e.eventGap):
		case <-r.Context().Done():
			return
		}
	}
}

// refusing returns the address of the first engine of a path that does not hold its
// layers; empty if all do.
func (e *engine) refusing(path string) string {
	if path == "" {
		return e.address
	}
	for i, hop := range strings.Split(path, ",") {
		address, layers, _ := strings.Cut(hop, "=")
		var from, to int
		if n, _ := fmt.Sscanf(layers, "%d-%d", &from, &to); n != 2 || i == 0 && address != e.address {
			return address
		}
		holder := false
		for _, o := range e.world.model {
			if o.address == address {
				o.mu.Lock()
				holder = o.from <= from && to <= o.to
				o.mu.Unlock()
			}
		}
		if !holder {
			return address
		}
	}
	return ""
}

func (e *engine) arrived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals[id] > 0
}

func (e *engine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
