package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// sendSite is a data path whose connections to targets open after a delay.
type sendSite struct {
	*Server
	now func() time.Duration
	// dialTime is the time that a connection takes to open.
	dialTime time.Duration
	// received counts the requests that reached a target.
	received int
}

func newSendSite() *sendSite {
	start := time.Now()
	s := &sendSite{Server: testServer(plainDialect{}), now: func() time.Duration { return time.Minute + time.Since(start) }}
	s.Fleets = follow.NewFleets(nil, s.Clock, s.now, log.NewNopLogger())
	s.Limits = limit.NewTargetLimiter(s.Clock, limit.Gateway{}, noGateways{})
	s.Settings.Drain = 2 * time.Second
	s.Client = &http.Client{Transport: &http.Transport{DialContext: NoticeSends(s.dial), DisableKeepAlives: true}}
	return s
}

// dial opens a connection to a target that answers each request.
func (s *sendSite) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := timer.Sleep(ctx, s.Clock, s.dialTime); err != nil {
		return nil, err
	}
	own, other := net.Pipe()
	go func() {
		defer other.Close()
		if _, err := http.ReadRequest(bufio.NewReader(other)); err != nil {
			return
		}
		s.received++
		_, _ = io.WriteString(other, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
	}()
	return own, nil
}

// list sets the target list, as read now.
func (s *sendSite) list(version uint64, targets ...topo.Target) {
	s.Fleets.ApplySync(topo.Version{Number: version}, targets, s.now(), "g2")
}

// request returns a request of a caller.
func (s *sendSite) request() *request {
	q := &request{Server: s.Server, r: httptest.NewRequest(http.MethodGet, "/", nil), deadline: s.Clock.Now().Add(10 * time.Second)}
	q.headers.ID = "r1"
	return q
}

// Guards against an age of the target list that is taken when the target is chosen,
// or when the request has ended, and not when it is sent.
func TestSendShowsTheAgeOfItsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSendSite()
		target := topo.Target{ID: "t", Started: 1, Address: "t:1"}
		s.list(1, target)
		s.dialTime = 300 * time.Millisecond
		q := s.request()
		resp, err := q.roundTrip(t.Context(), target, TargetHeaders{})
		is.True(err == nil)
		_ = resp.Body.Close()
		is.Equal(time.Duration(q.oldestList.Load()), s.dialTime)
		is.Equal(s.received, 1)
	})
}
