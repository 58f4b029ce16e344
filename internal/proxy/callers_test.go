package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	crowdBound = 16 << 20
	// crowdSize times crowdBody is twelve times the bound.
	crowdSize = 48
	crowdBody = 4 << 20
)

// crowdSite is a server whose connections have claims on one budget.
type crowdSite struct {
	*httptest.Server
	budget *budget.Budget
}

func newCrowdSite(t *testing.T, h http.Handler) *crowdSite {
	s := &crowdSite{Server: httptest.NewUnstartedServer(h), budget: budget.New(budget.Options{Bytes: crowdBound, Clock: timer.System{}})}
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		claim := s.budget.Open(func() { _ = c.Close() })
		return budget.WithClaim(ctx, claim)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// send sends the head of a request and a part of its body, and returns the connection.
func (s *crowdSite) send(t *testing.T, head string, body int) net.Conn {
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	// The connection may be closed as it gives way.
	_, _ = io.WriteString(conn, head+"Host: site.example\r\n\r\n")
	_, _ = conn.Write(make([]byte, body))
	return conn
}

// post sends an ordinary request on a connection of its own.
func (s *crowdSite) post(t *testing.T, size int) int {
	conn := s.send(t, fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n", size), size)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.New(t).NoErr(err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *crowdSite) awaitUsed(t *testing.T, want func(int64) bool) {
	for end := time.Now().Add(5 * time.Second); !want(s.budget.Stats().Used); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v", s.budget.Stats())
		}
	}
}

// Guards against a gateway that holds a whole crowd of bodies which stop just short of
// their end, or that serves nobody else meanwhile, small or large.
func TestCrowdOfBodies(t *testing.T) {
	is := is.New(t)
	s := newCrowdSite(t, newBenchServer())
	var crowd sync.WaitGroup
	for range crowdSize {
		crowd.Go(func() { s.send(t, fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\n", crowdBody), crowdBody-1) })
	}
	s.awaitUsed(t, func(used int64) bool { return used > crowdBound/2 })
	for range 4 {
		is.Equal(s.post(t, 2000), http.StatusOK)
	}
	crowd.Wait()
	is.Equal(s.post(t, crowdBody), http.StatusOK)
	is.True(s.budget.Stats().Used <= crowdBound)
	s.CloseClientConnections()
	s.awaitUsed(t, func(used int64) bool { return used == 0 })
}

// Guards against a request without room that gets another answer than a refusal which
// promises that it has not run, or that is kept without one.
func TestBodyWithoutRoom(t *testing.T) {
	is := is.New(t)
	s := newCrowdSite(t, newBenchServer())
	full := s.budget.Open(nil)
	is.NoErr(full.Grow(t.Context(), crowdBound*7/8))
	full.SetPhase(budget.Running)
	conn := s.send(t, fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\n", crowdBody), 100<<10)
	start := time.Now()
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(fault.Header), string(fault.NotRun))
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(resp.Close)
	_, err = io.Copy(io.Discard, r)
	is.NoErr(err)
	is.True(time.Since(start) < 5*time.Second)
	is.Equal(s.post(t, 2000), http.StatusOK) // the reserve
	is.Equal(s.budget.Stats().Used, int64(crowdBound*7/8))
}

// Guards against memory that is not given back by a request that panics.
func TestPanicGivesMemoryBack(t *testing.T) {
	is := is.New(t)
	server := newBenchServer()
	server.Retries = nil // the first use panics, after the body has been read
	s := newCrowdSite(t, server)
	is.Equal(s.post(t, 2000), http.StatusInternalServerError)
	s.awaitUsed(t, func(used int64) bool { return used == 0 })
}

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

// Read implements io.Reader.
func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// Guards against a body that is read although its request is refused because of the route
// or the size.
func TestRefusedBodyIsNotRead(t *testing.T) {
	for _, c := range []struct {
		name, url string
		length    int64
		status    int
	}{
		{"route", "http://other.example/x", 1000, http.StatusNotFound},
		{"size", "http://site.example/x", 5 << 20, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodPost, c.url, unreadBody{t})
			r.ContentLength = c.length
			w := httptest.NewRecorder()
			newBenchServer().ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
		})
	}
}

// Guards against a response that nobody takes and that is not counted, or that is not
// given back when its connection has ended.
func TestUnreadResponseIsCounted(t *testing.T) {
	is := is.New(t)
	server := newBenchServer()
	server.Client = &http.Client{Transport: benchTarget{strings.Repeat("x", 7<<20)}}
	s := newCrowdSite(t, server)
	conn := s.send(t, "GET /x HTTP/1.1\r\n", 0)
	s.awaitUsed(t, func(used int64) bool { return used == 7<<20+1-firstBufferBytes+runBytes })
	is.NoErr(conn.Close())
	s.awaitUsed(t, func(used int64) bool { return used == 0 })
}
