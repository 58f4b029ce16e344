package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
)

// dropping returns a server that reads each request and drops the connection
// of every one after the first, and the number of requests that it has read.
func dropping(t *testing.T) (string, *atomic.Int64) {
	var count atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if count.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusCreated)
	}))
	t.Cleanup(s.Close)
	return s.URL, &count
}

// Shows the fault that the transport for non-repeatable calls guards against:
// the default one sends a request twice.
func TestDefaultTransportSendsTwice(t *testing.T) {
	is := is.New(t)
	url, count := dropping(t)
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("{}")))
		is.NoErr(err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := (&http.Transport{}).RoundTrip(req)
		if err == nil {
			is.NoErr(resp.Body.Close())
		}
	}
	is.Equal(count.Load(), int64(2)) // new transports: a connection each
	url, count = dropping(t)
	shared := &http.Transport{}
	defer shared.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("{}")))
		is.NoErr(err)
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := shared.RoundTrip(req); err == nil {
			is.NoErr(resp.Body.Close())
		}
	}
	is.Equal(count.Load(), int64(3)) // the second request was sent twice
}

// Guards P4: a non-repeatable call is sent once, whatever its method and
// headers, and its outcome is Unknown.
func TestServiceNeverSendsTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet} {
		is := is.New(t)
		url, count := dropping(t)
		s := NewService(url)
		call := ServiceCall{Method: method, Path: "/bookings", Header: http.Header{"Idempotency-Key": {"k"}}}
		if method != http.MethodGet {
			call.Body = []byte("{}")
		}
		_, err := s.Do(t.Context(), call)
		is.NoErr(err)
		_, err = s.Do(t.Context(), call)
		is.Equal(fault.As(err).Outcome, fault.Unknown)
		is.Equal(count.Load(), int64(2))
	}
}

// Guards P3: only a call without a connection is reported as NotRun.
func TestServiceOutcomes(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hang":
			<-release
		case "/half":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		case "/redirect":
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}
	}))
	service := NewService(s.URL)
	do := func(path string) (ServiceAnswer, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		return service.Do(ctx, ServiceCall{Method: http.MethodPost, Path: path})
	}
	_, err := do("/hang")
	is.Equal(fault.As(err).Outcome, fault.Unknown)
	is.True(fault.Is(err, fault.Deadline))
	_, err = do("/half")
	is.Equal(fault.As(err).Outcome, fault.Unknown)
	answer, err := do("/redirect")
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusTemporaryRedirect)
	close(release)
	s.Close()
	_, err = do("/refused")
	is.Equal(fault.As(err).Outcome, fault.NotRun)
}

// Guards P8: a guard that fails stops the order before it is sent.
func TestGuardStopsTheOrder(t *testing.T) {
	is := is.New(t)
	var orders atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b, err := io.ReadAll(r.Body); err == nil && len(b) > 0 {
			orders.Add(1)
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	c := NewClient(s.URL)
	is.NoErr(c.Do(t.Context(), Order{}, func() error { return nil }))
	err := c.Do(t.Context(), Order{}, func() error { return fault.New(fault.Conflict, "expired") })
	is.True(fault.Is(err, fault.Conflict))
	is.Equal(orders.Load(), int64(1))
}
