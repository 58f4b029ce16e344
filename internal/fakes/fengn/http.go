package fengn

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

const maxBodyBytes = 64 << 20

// Handler serves the engine's interface, its counters and its fault switches.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/sessions", e.serveOpen).Methods(http.MethodPost)
	r.HandleFunc("/sessions/{id}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc("/sessions/{id}/steps", e.serveStep).Methods(http.MethodPost)
	r.HandleFunc("/steps", e.serveStream).Methods(http.MethodPost)
	r.HandleFunc("/sessions/{id}/truncate", e.serveTruncate).Methods(http.MethodPost)
	r.HandleFunc("/sessions/{id}/kv", e.serveExport).Methods(http.MethodGet)
	r.HandleFunc("/kv", e.serveImport).Methods(http.MethodPost)
	r.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/state", e.serveState).Methods(http.MethodGet)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/cache/events", e.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/stats", e.serveStats).Methods(http.MethodGet)
	r.HandleFunc("/faults", e.serveFaults).Methods(http.MethodPut)
	return r
}

func (e *Engine) serveOpen(w http.ResponseWriter, r *http.Request) {
	var body engine.SessionRequest
	if !read(w, r, &body) {
		return
	}
	state, err := e.open(body)
	write(w, state, err)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.cancel(mux.Vars(r)["id"])
	write(w, struct{}{}, nil)
}

func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	var body engine.StepRequest
	if !read(w, r, &body) {
		return
	}
	reply := make(chan ended, 1)
	if err := e.submit(engine.BatchStep{Session: mux.Vars(r)["id"], StepRequest: body}, 0, reply); err != nil {
		write(w, nil, err)
		return
	}
	select {
	case end := <-reply:
		result, err := e.result(end, body)
		write(w, result, err)
	case <-r.Context().Done():
	}
}

func failed(index int, err error) engine.BatchResult {
	f := fault.As(err)
	return engine.BatchResult{Index: index, Code: string(f.Code), Detail: f.Detail}
}

// result returns the kept outputs of a step that has ended.
func (e *Engine) result(end ended, r engine.StepRequest) (engine.StepResult, error) {
	if end.err != nil {
		return engine.StepResult{}, end.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if end.step.session.next() < r.Position+r.Count {
		return engine.StepResult{}, fault.New(fault.Conflict, "session was truncated")
	}
	return end.step.session.result(r.Position, r.Count), nil
}

func (e *Engine) serveTruncate(w http.ResponseWriter, r *http.Request) {
	var body engine.TruncateRequest
	if !read(w, r, &body) {
		return
	}
	state, err := e.truncate(mux.Vars(r)["id"], body.Position)
	write(w, state, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	kv, err := e.export(mux.Vars(r)["id"])
	write(w, kv, err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body engine.SessionExport
	if !read(w, r, &body) {
		return
	}
	state, err := e.adopt(body)
	write(w, state, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body engine.Order
	if !read(w, r, &body) {
		return
	}
	write(w, struct{}{}, e.order(body))
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) { write(w, e.State(), nil) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { write(w, e.load(), nil) }

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	e.mu.Lock()
	events := e.cache.since(after, e.cfg.Timer.Now())
	e.mu.Unlock()
	write(w, events, nil)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { write(w, e.Stats(), nil) }

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body Faults
	if !read(w, r, &body) {
		return
	}
	e.SetFaults(body)
	write(w, struct{}{}, nil)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		write(w, nil, fault.New(fault.Malformed, "body does not decode").WithCause(err))
		return false
	}
	return true
}

func write(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		f := fault.As(err)
		w.WriteHeader(f.Status())
		v = struct{ Code, Detail string }{string(f.Code), f.Detail}
	}
	_ = json.NewEncoder(w).Encode(v)
}
