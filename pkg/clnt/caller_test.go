package clnt_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/clnt"
)

// scriptedEntry is a fake entry. It answers each request with the next line of
// its script and records the idempotency keys that it receives.
type scriptedEntry struct {
	mu       sync.Mutex
	script   []string
	received []string
}

func (s *scriptedEntry) receivedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

func (s *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.received = append(s.received, r.Header.Get("Idempotency-Key"))
	step := "lost"
	if len(s.script) > 0 {
		step, s.script = s.script[0], s.script[1:]
	}
	s.mu.Unlock()
	switch step {
	case "lost":
		panic(http.ErrAbortHandler)
	case "ok":
		_, _ = io.WriteString(w, "done")
	case "overloaded", "leaving", "unknown":
		e := map[string]string{
			"overloaded": `{"error":{"code":"Overloaded","outcome":"NotRun","retry_after":0.02}}`,
			"leaving":    `{"error":{"code":"Leaving","outcome":"NotRun"}}`,
			"unknown":    `{"error":{"code":"TargetLost","outcome":"Unknown"}}`,
		}[step]
		w.Header().Set(fault.Header, "set")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, e)
	default: // events of a stream, separated by "|"; "cut" loses the connection
		for event := range strings.SplitSeq(step, "|") {
			if event == "cut" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "data: "+event+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against a call without a key that is sent twice although it may have
// run, a retry under another key, and an outcome of NotRun although an earlier
// attempt may have run.
func TestCallRepeats(t *testing.T) {
	for _, c := range []struct {
		name, method, key string
		script            []string
		outcome           fault.Outcome
		sent              int
	}{
		{"overloaded, then done", "POST", "", []string{"overloaded", "ok"}, "", 2},
		{"leaving, then done", "POST", "", []string{"leaving", "ok"}, "", 2},
		{"always overloaded", "POST", "", []string{"overloaded", "overloaded", "overloaded", "overloaded"}, fault.NotRun, 3},
		{"lost without key", "POST", "", []string{"lost", "ok"}, fault.Unknown, 1},
		{"lost GET without key", "GET", "", []string{"overloaded", "lost", "ok"}, fault.Unknown, 2},
		{"unknown without key", "POST", "", []string{"unknown", "ok"}, fault.Unknown, 1},
		{"lost with key", "POST", "key-1", []string{"lost", "ok"}, "", 2},
		{"unknown with key, then refused", "POST", "key-1", []string{"unknown", "overloaded", "overloaded"}, fault.Unknown, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &scriptedEntry{script: c.script}
			server := httptest.NewServer(s)
			defer server.Close()
			var body []byte
			if c.method == "POST" {
				body = []byte("1")
			}
			answer, err := clnt.NewCaller([]string{server.URL}, "key").Call(context.Background(), clnt.ServiceCall{
				Service: "ledger-app", Method: c.method, Path: "/transfers", Body: body, IdempotencyKey: c.key,
			})
			if c.outcome == "" {
				is.NoErr(err)
				is.Equal(string(answer.Body), "done")
			} else {
				is.Equal(fault.As(err).Outcome, c.outcome)
			}
			keys := s.receivedKeys()
			is.Equal(len(keys), c.sent)
			for _, key := range keys {
				is.Equal(key, c.key)
			}
		})
	}
}

// Guards against a truncated answer that is reported as complete, and against a
// request that is sent again after a part of its answer was delivered.
func TestCompleteIsWholeOrFails(t *testing.T) {
	for _, c := range []struct {
		name, script, text string
		outcome            fault.Outcome
	}{
		{"whole", `{"choices":[{"text":"a"}]}|{"choices":[{"text":"b"}]}|[DONE]`, "ab", ""},
		{"cut", `{"choices":[{"text":"a"}]}|cut`, "a", fault.Partial},
		{"ends without its terminal event", `{"choices":[{"text":"a"}]}`, "a", fault.Partial},
		{"ends with an error event", `{"choices":[{"text":"a"}]}|{"error":{"code":"TargetLost","outcome":"Partial"}}`, "a", fault.Partial},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedEntry{script: []string{"overloaded", c.script}}
			server := httptest.NewServer(s)
			defer server.Close()
			unreachable := httptest.NewServer(nil)
			unreachable.Close()
			var text strings.Builder
			err := clnt.NewCaller([]string{unreachable.URL, server.URL}, "key").Complete(context.Background(), clnt.Completion{Model: "oak", Prompt: "p"},
				func(piece string) error {
					_, err := text.WriteString(piece)
					return err
				})
			is.Equal(text.String(), c.text)
			is.Equal(err == nil, c.outcome == "")
			if err != nil {
				is.Equal(fault.As(err).Outcome, c.outcome)
			}
			is.Equal(len(s.receivedKeys()), 2)
		})
	}
}
