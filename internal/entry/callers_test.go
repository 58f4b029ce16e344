package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

// budgetServer serves an entry whose connections have claims on a budget.
func budgetServer(t *testing.T, f *fixture, bytes int64) *budget.Budget {
	b := budget.New(budget.Options{Bytes: bytes, Clock: timer.System{}})
	f.server = httptest.NewUnstartedServer(f.entry.Handler())
	f.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return budget.WithClaim(ctx, b.Open(func() { _ = c.Close() }))
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return b
}

// Guards against a body that is not counted, or not given back when its request has
// failed, and against a refusal for lack of room that does not promise that the request
// has not run.
func TestBodiesAreClaimed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	b := budgetServer(t, f, 8<<20)
	prompt := `{"model":"oak","prompt":"` + strings.Repeat("x", 1<<20) + `"}`
	_, body := f.post("/v1/completions", prompt)
	code, _ := decodeError(t, body)
	is.Equal(code, "TooLarge") // the model takes shorter prompts
	for end := time.Now().Add(5 * time.Second); b.Stats().Used != 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	full := b.Open(nil)
	is.NoErr(full.Grow(t.Context(), 7<<20))
	full.SetPhase(budget.Running)
	resp, body := f.post("/v1/completions", prompt)
	code, outcome := decodeError(t, body)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(code, "Overloaded")
	is.Equal(outcome, "NotRun")
	is.Equal(resp.Header.Get(fault.Header), "NotRun")
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(resp.Close)
	is.Equal(b.Stats().Used, int64(7<<20))
}

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

// Read implements io.Reader.
func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// Guards against a body that is read although its request is refused because of the key,
// the path or the size.
func TestRefusedBodyIsNotRead(t *testing.T) {
	f := newFixture(t, Bounds{BodyBytes: 200})
	for _, c := range []struct {
		name, path, key string
		length          int64
		status          int
	}{
		{"key", "/v1/completions", "key-2", 100, http.StatusUnauthorized},
		{"path", "/v1/nothing", "key-1", 100, http.StatusNotFound},
		{"size", "/v1/completions", "key-1", 201, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodPost, c.path, unreadBody{t})
			r.ContentLength = c.length
			r.Header.Set("Authorization", "Bearer "+c.key)
			w := httptest.NewRecorder()
			f.entry.Handler().ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Connection"), "close")
		})
	}
}
