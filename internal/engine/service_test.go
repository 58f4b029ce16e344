package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
)

// startDroppingServer starts a server that reads each request and, after the
// first one, drops the connection without a response. It returns the URL and the
// number of requests read.
func startDroppingServer(t *testing.T) (string, *atomic.Int64) {
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

// Demonstrates the fault that the transport for non-repeatable calls prevents:
// http.Transport sends a request again when a reused connection breaks.
func TestDefaultTransportSendsTwice(t *testing.T) {
	is := is.New(t)
	url, count := startDroppingServer(t)
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("{}")))
		is.NoErr(err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := (&http.Transport{}).RoundTrip(req)
		if err == nil {
			is.NoErr(resp.Body.Close())
		}
	}
	is.Equal(count.Load(), int64(2)) // each new transport opens its own connection
	url, count = startDroppingServer(t)
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

// Guards against a non-repeatable call that takes effect twice (P4): a transport
// retries it because of its method or headers. The call is sent once, and its
// outcome is Unknown.
func TestServiceNeverSendsTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet} {
		is := is.New(t)
		url, count := startDroppingServer(t)
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

// Guards against a call that may have taken effect and is reported as NotRun
// (P3). Only a call that got no connection has this outcome.
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
	do := func(path string) (ServiceResponse, error) {
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

// Guards against an order that is sent although its sender no longer owns the
// target (P8): an error from the guard stops the order before it is sent.
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
	is.NoErr(c.SendOrder(t.Context(), Order{}, func() error { return nil }))
	err := c.SendOrder(t.Context(), Order{}, func() error { return fault.New(fault.Conflict, "expired") })
	is.True(fault.Is(err, fault.Conflict))
	is.Equal(orders.Load(), int64(1))
}

// Guards against an empty success for a service that stopped in the middle of its
// response and closed the connection.
func TestServiceStopsInItsResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		cut, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		_, _ = io.WriteString(conn, whole[:cut])
	}))
	defer s.Close()
	service := NewService(s.URL)
	for cut := range len(whole) - len("body") + 1 {
		_, err := service.Do(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/" + strconv.Itoa(cut)})
		if err == nil || fault.As(err).Outcome != fault.Unknown {
			t.Errorf("cut after %d bytes: %v, want an error with the outcome Unknown", cut, err)
		}
	}
	answer, err := service.Do(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/" + strconv.Itoa(len(whole))})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(string(answer.Body), "body")
}
