package proxy

import (
	"bufio"
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
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// plainDialect reads the ID, the seal and the not-run mark of responses.
type plainDialect struct{ Dialect }

func (plainDialect) WriteRequest(http.Header, TargetHeaders) {}

func (plainDialect) ReadResponse(h http.Header) ResponseHeaders {
	return ResponseHeaders{ID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

// serveRaw serves connections on which the n-th request, from 0, is answered with
// the n-th response, as it stands. It returns the address.
func serveRaw(t *testing.T, responses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for _, response := range responses {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if !strings.HasPrefix(response, "early ") {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					if _, err := io.WriteString(conn, strings.TrimPrefix(response, "early ")); err != nil {
						return
					}
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a request that a target has run and that counts as not run,
// because the target wrote the refusal of an earlier request once more, on a
// connection that was kept or on a new one.
func TestRefusalsOfOtherRequests(t *testing.T) {
	const (
		answer     = "HTTP/1.1 200 OK\r\nId: r0\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
		other      = "HTTP/1.1 503 Service Unavailable\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		own        = "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed    = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed421 = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		early      = "early HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		hints      = "HTTP/1.1 103 Early Hints\r\nId: r0\r\nNot-Run: 1\r\n\r\n"
	)
	for _, c := range []struct {
		name string
		// before is the response to an earlier request on the connection; empty if
		// the connection is new.
		before, response string
		want             fault.Outcome
	}{
		{"own, new connection", "", own, fault.NotRun},
		{"no ID, new connection", "", unnamed, fault.NotRun},
		{"421 without an ID, new connection", "", unnamed421, fault.NotRun},
		{"other, new connection", "", other, fault.Unknown},
		{"other before the own one, new connection", "", other + own, fault.Unknown},
		{"own, kept connection", answer, own, fault.NotRun},
		{"other, kept connection", answer, other, fault.Unknown},
		{"no ID, kept connection", answer, unnamed, fault.Unknown},
		{"421 without an ID, kept connection", answer, unnamed421, fault.Unknown},
		{"marked hints before an answer of another request", "", hints + answer, fault.Unknown},
		{"marked hints before the own refusal", "", hints + own, fault.NotRun},
		{"before the request was sent, new connection", "", early, fault.NotRun},
		{"nothing after hints", "", hints, fault.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := testServer(plainDialect{})
			clock := timer.System{}
			s.Limits = limit.NewTargetLimiter(clock, limit.Gateway{}, noGateways{})
			s.Client = &http.Client{Transport: &http.Transport{}}
			defer s.Client.CloseIdleConnections()
			responses := []string{c.response}
			if c.before != "" {
				responses = []string{c.before, c.response}
			}
			target := topo.Target{ID: "t", Address: serveRaw(t, responses...)}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			var err *fault.Error
			for i := range responses {
				q := &request{Server: s, r: httptest.NewRequest(http.MethodPost, "/", nil), deadline: clock.Now().Add(time.Second)}
				q.headers.ID = []string{"r0", "r1"}[i+2-len(responses)]
				body, bodyErr := budget.ReadBody(ctx, strings.NewReader(strings.Repeat("\x00", 1<<20)), 1<<20, 1<<20)
				is.NoErr(bodyErr)
				q.body = body
				var resp *http.Response
				if resp, err = q.roundTrip(ctx, []topo.Target{target}, TargetHeaders{}); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					is.NoErr(resp.Body.Close())
					time.Sleep(20 * time.Millisecond) // the connection becomes idle
				}
			}
			is.True(err != nil)
			is.Equal(err.Outcome, c.want)
		})
	}
}

type noGateways struct{}

func (noGateways) Gateways() []limit.Gateway { return nil }

func (noGateways) Version() uint64 { return 1 }
