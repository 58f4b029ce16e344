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

// Handler serves the engine API, and /stats and /faults for tests.
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
	if !readBody(w, r, &body) {
		return
	}
	state, err := e.openSession(body)
	writeReply(w, state, err)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.cancelSession(mux.Vars(r)["id"])
	writeReply(w, struct{}{}, nil)
}

func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	var body engine.StepRequest
	if !readBody(w, r, &body) {
		return
	}
	reply := make(chan stepAnswer, 1)
	if err := e.submit(engine.BatchStep{Session: mux.Vars(r)["id"], StepRequest: body}, 0, reply); err != nil {
		writeReply(w, nil, err)
		return
	}
	select {
	case answer := <-reply:
		result, err := e.result(answer, body)
		writeReply(w, result, err)
	case <-r.Context().Done():
	}
}

func errorResult(index int, err error) engine.BatchResult {
	f := fault.As(err)
	return engine.BatchResult{Index: index, Code: string(f.Code), Detail: f.Detail}
}

// result returns the outputs of a step that was answered.
func (e *Engine) result(answer stepAnswer, r engine.StepRequest) (engine.StepResult, error) {
	if answer.err != nil {
		return engine.StepResult{}, answer.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer.step.session.next() < r.Position+r.Count {
		return engine.StepResult{}, fault.New(fault.Conflict, "session was truncated before the step was answered")
	}
	return answer.step.session.result(r.Position, r.Count), nil
}

func (e *Engine) serveTruncate(w http.ResponseWriter, r *http.Request) {
	var body engine.TruncateRequest
	if !readBody(w, r, &body) {
		return
	}
	state, err := e.truncateSession(mux.Vars(r)["id"], body.Position)
	writeReply(w, state, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	kv, err := e.exportSession(mux.Vars(r)["id"])
	writeReply(w, kv, err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body engine.SessionExport
	if !readBody(w, r, &body) {
		return
	}
	state, err := e.importSession(body)
	writeReply(w, state, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body engine.Order
	if !readBody(w, r, &body) {
		return
	}
	writeReply(w, struct{}{}, e.runOrder(body))
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) { writeReply(w, e.State(), nil) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, e.loadReport(), nil)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	e.mu.Lock()
	events := e.cache.eventsSince(after, e.cfg.Timer.Now())
	e.mu.Unlock()
	writeReply(w, events, nil)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { writeReply(w, e.Stats(), nil) }

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body Faults
	if !readBody(w, r, &body) {
		return
	}
	e.SetFaults(body)
	writeReply(w, struct{}{}, nil)
}

func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeReply(w, nil, fault.New(fault.Malformed, "request body is not valid JSON of this endpoint").WithCause(err))
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		f := fault.As(err)
		w.WriteHeader(f.Status())
		v = struct{ Code, Detail string }{string(f.Code), f.Detail}
	}
	_ = json.NewEncoder(w).Encode(v)
}
