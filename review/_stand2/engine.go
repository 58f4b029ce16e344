package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelEngine is a stand-in of a model engine that runs in a process of its own.
type modelEngine struct {
	id          string
	born        int64
	unframed    bool
	endlessBody int
	endlessHead int
	gap         time.Duration

	mu       sync.Mutex
	from, to int
	sequence int64
	running  int
}

func runEngine() {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &modelEngine{born: time.Now().UnixMilli()}
	listen := f.String("listen", "", "address")
	f.StringVar(&e.id, "id", "", "ID")
	f.BoolVar(&e.unframed, "unframed", false, "answer with neither a length nor chunks")
	f.DurationVar(&e.gap, "gap", 50*time.Millisecond, "time between two events")
	f.IntVar(&e.endlessBody, "endless-body", 0, "send this many bytes of an event that does not end, and then one byte at a time")
	f.IntVar(&e.endlessHead, "endless-head", 0, "send this many bytes of a head that does not end, and then one line at a time")
	f.IntVar(&e.to, "layers", 0, "number of layers that are loaded already")
	_ = f.Parse(os.Args[2:])
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*listen, e))
	os.Exit(1)
}

func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/shallotcourse/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		out := map[string]any{
			"stage": "both", "born": e.born, "busy": false, "sequence": e.sequence, "queued": 0, "running": e.running, "pace": 1.0,
			"kvUsed": 0, "kvTotal": 200000, "handles": 0, "stalled": []any{}, "layers": nil, "kind": "card",
		}
		if e.to > e.from {
			out["layers"] = map[string]any{"from": e.from, "to": e.to, "version": 1}
		}
		writeJSON(w, http.StatusOK, out)
	case "/shallotcourse/order":
		e.order(w, r)
	default:
		e.generate(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *modelEngine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Op           string `json:"op"`
		From, To     int
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.Precondition != nil && *body.Precondition != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.from, e.to = body.From, body.To
	w.WriteHeader(http.StatusAccepted)
}

// generate answers with as many events as the query names, from the one after Last-Event-Id.
func (e *modelEngine) generate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	count, _ := strconv.Atoi(r.URL.Query().Get("events"))
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	fmt.Printf("%d run %s after %d\n", time.Now().UnixMilli(), r.Header.Get("Request-Id"), last)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Response-Seal", "seal-"+e.id)
	if e.endlessHead > 0 {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = out.WriteString("HTTP/1.1 200 OK\r\n")
		n := 0
		line := func() int {
			n++
			k, _ := fmt.Fprintf(out, "%s:\r\n", strconv.FormatInt(int64(n), 36))
			return k
		}
		for sent := 0; sent < e.endlessHead; {
			sent += line()
		}
		for out.Flush() == nil {
			time.Sleep(100 * time.Millisecond)
			line()
		}
		return
	}
	if e.endlessBody > 0 {
		_, _ = io.WriteString(w, "id: 1\ndata: "+strings.Repeat("x", e.endlessBody))
		for _ = http.NewResponseController(w).Flush(); r.Context().Err() == nil; time.Sleep(100 * time.Millisecond) {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	if !e.unframed {
		for i := last + 1; i <= count; i++ {
			time.Sleep(e.gap)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, e.id); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = h.Write(out)
	_, _ = out.WriteString("\r\n")
	_ = out.Flush()
	for i := last + 1; i <= count; i++ {
		time.Sleep(e.gap)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", i, i, e.id)
		if out.Flush() != nil {
			return
		}
	}
}
