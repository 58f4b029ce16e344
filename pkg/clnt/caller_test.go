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

// scripted answers each request with the next line of a script and records
// the idempotency keys that it saw.
type scripted struct {
	mu     sync.Mutex
	script []string
	keys   []string
}

func (s *scripted) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
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

// Guards against a call that is sent twice without a key, a repeat under
// another key, and a NotRun that hides an earlier attempt.
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
			s := &scripted{script: c.script}
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
			keys := s.seen()
			is.Equal(len(keys), c.sent)
			for _, key := range keys {
				is.Equal(key, c.key)
			}
		})
	}
}

// Guards against an answer that is cut off and passes as whole, or is repeated
// after a part of it was delivered.
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
			s := &scripted{script: []string{"overloaded", c.script}}
			server := httptest.NewServer(s)
			defer server.Close()
			dead := httptest.NewServer(nil)
			dead.Close()
			var text strings.Builder
			err := clnt.NewCaller([]string{dead.URL, server.URL}, "key").Complete(context.Background(), clnt.Completion{Model: "oak", Prompt: "p"},
				func(piece string) error {
					_, err := text.WriteString(piece)
					return err
				})
			is.Equal(text.String(), c.text)
			is.Equal(err == nil, c.outcome == "")
			if err != nil {
				is.Equal(fault.As(err).Outcome, c.outcome)
			}
			is.Equal(len(s.seen()), 2)
		})
	}
}
