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

	"shallotcourse/internal/bounds"
	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
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

var sendTarget = topo.Target{ID: "t", Started: 1, Service: "s", Address: "t:1"}

func newSendSite() *sendSite {
	start := time.Now()
	s := &sendSite{Server: testServer(plainDialect{}), now: func() time.Duration { return time.Minute + time.Since(start) }}
	s.Fleets = follow.NewFleets(nil, s.Clock, s.now, log.NewNopLogger())
	s.Limits = limit.NewTargetLimiter(s.Clock, limit.Gateway{}, noGateways{})
	s.Client = &http.Client{Transport: &http.Transport{DialContext: CheckSends(s.dial), DisableKeepAlives: true}}
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
		s.list(1, sendTarget)
		s.dialTime = 300 * time.Millisecond
		q := s.request()
		resp, err := q.roundTrip(t.Context(), []topo.Target{sendTarget}, TargetHeaders{})
		is.True(err == nil)
		_ = resp.Body.Close()
		is.Equal(time.Duration(q.oldestList.Load()), s.dialTime)
		is.Equal(s.received, 1)
	})
}

// Guards against a request that reaches a target which the list shows as draining, gone
// or restarted since it was chosen (DRAIN): the connection opens late, or the process got
// no processor. A later target of the path counts as the first one does.
func TestNothingIsSentToATargetThatLeftMeanwhile(t *testing.T) {
	first := topo.Target{ID: "a", Started: 1, Address: "a:1"}
	draining, restarted := sendTarget, sendTarget
	draining.State, restarted.Started = topo.Draining, 2
	for _, c := range []struct {
		name string
		path []topo.Target
		then []topo.Target
		sent int
	}{
		{"stays", []topo.Target{sendTarget}, []topo.Target{sendTarget}, 1},
		{"gone", []topo.Target{sendTarget}, nil, 0},
		{"drains", []topo.Target{sendTarget}, []topo.Target{draining}, 0},
		{"restarted", []topo.Target{sendTarget}, []topo.Target{restarted}, 0},
		{"later target drains", []topo.Target{first, sendTarget}, []topo.Target{first, draining}, 0},
		{"later target gone", []topo.Target{first, sendTarget}, []topo.Target{first}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSendSite()
				s.list(1, c.path...)
				s.dialTime = 300 * time.Millisecond
				time.AfterFunc(200*time.Millisecond, func() { s.list(2, c.then...) })
				resp, err := s.request().roundTrip(t.Context(), c.path, TargetHeaders{})
				is.Equal(s.received, c.sent)
				if c.sent > 0 {
					is.True(err == nil)
					_ = resp.Body.Close()
					return
				}
				is.Equal(err.Outcome, fault.NotRun) // so it may go elsewhere
				is.Equal(err.Code, fault.Outdated)
			})
		})
	}
}

// Guards against a path that is used as it was chosen after a wait for a retry, although
// one of its targets has left meanwhile.
func TestPathIsCheckedAfterAWaitForARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSendSite()
		s.list(1, sendTarget)
		st := &stream{request: s.request()}
		time.Sleep(time.Second) // the wait
		s.list(2)
		_, failure := st.startRun([]chain.Hop{{Target: sendTarget}})
		is.Equal(failure.Outcome, fault.NotRun)
		is.Equal(st.sendCount, 0)
	})
}

// Guards against a request that is sent by a target list older than the deployment
// allows (DRAIN), by a process that was frozen or a connection that opens late, and
// against requests that wait for a list that does not come.
func TestNothingIsSentByAnOldList(t *testing.T) {
	maxAge := bounds.Derive(bounds.Default).Targets.MaxAge
	for _, c := range []struct {
		name string
		// age is that of the list when the request arrives, and refreshed the time
		// from then until it is renewed; 0 is never.
		age, refreshed, dialTime time.Duration
		status                   int
		took                     time.Duration
	}{
		{"young", maxAge, 0, 0, http.StatusOK, 0},
		{"too old at first", 5 * time.Second, 100 * time.Millisecond, 0, http.StatusOK, 100 * time.Millisecond},
		{"too old", 5 * time.Second, 0, 0, http.StatusServiceUnavailable, refreshTimeout},
		{"too old when the connection is open", maxAge - 100*time.Millisecond, 0, 200 * time.Millisecond, http.StatusServiceUnavailable, 200 * time.Millisecond},
		{"renewed while it opens", maxAge - 100*time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, http.StatusOK, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSendSite()
				s.Ledger, s.Retries = ledger.New(s.Clock), limit.NewRetryLimiter(s.Clock, limit.RetryBounds{Window: time.Second, Ratio: 1, Slack: 9}, func() int { return 1 })
				s.list(1, sendTarget)
				time.Sleep(c.age)
				if c.refreshed > 0 {
					time.AfterFunc(c.refreshed, func() { s.list(1, sendTarget) })
				}
				s.dialTime = c.dialTime
				w, start := httptest.NewRecorder(), time.Now()
				q := s.request()
				q.w, q.service = w, topo.Service{Name: "s"}
				q.servePlain()
				is.Equal(w.Code, c.status)
				took := time.Since(start)
				is.True(took >= c.took && took <= c.took+refreshPollInterval)
				is.Equal(s.received == 1, c.status == http.StatusOK)
				is.Equal(w.Header().Get("Retry-After") != "", c.status != http.StatusOK)
				time.Sleep(time.Second) // the renewal, if the request has ended before
			})
		})
	}
}
