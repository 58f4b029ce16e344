package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/topo"
)

// Guards against a stream that ends inside an event and looks complete, and
// against events that are split or joined.
func TestEventReader(t *testing.T) {
	is := is.New(t)
	r := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: 3\nda"))
	for _, want := range []event{
		{[]byte("id: 1\ndata: a\n\n"), "1", false}, {[]byte("id:2\r\ndata: b\r\ndata: c\r\n\r\n"), "2", false}, {[]byte(": note\n\n"), "", true},
	} {
		got, err := r.next()
		is.NoErr(err)
		is.Equal(string(got.raw), string(want.raw))
		is.Equal(got.id, want.id)
		is.Equal(got.comment, want.comment)
	}
	_, err := r.next()
	is.Equal(fault.As(err).Outcome, fault.Partial)
	_, err = newEventReader(strings.NewReader("")).next()
	is.Equal(err, io.EOF)
	_, err = newEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes))).next()
	is.True(fault.Is(err, fault.TooLarge))
}

// Guards against a request that is sent along a path of which a target has said that it
// takes no work while the request waited for a retry.
func TestNothingIsSentToATargetThatHasJustLeft(t *testing.T) {
	is := is.New(t)
	s := testServer(nil)
	s.Limits = limit.NewTargetLimiter(s.Clock, limit.Gateway{}, nil)
	first, second := topo.Target{ID: "a", Started: 1}, topo.Target{ID: "b", Started: 1}
	s.Limits.Leaves(second)
	st := &stream{request: &request{Server: s}}
	failure := st.run([]chain.Hop{{Target: first}, {Target: second}})
	is.Equal(failure.Outcome, fault.NotRun)
	is.Equal(st.sendCount, 0)
}

// Guards against a status that implies that a request has not run where that is
// not certain, and against a Retry-After with a status for which a retry does
// not help.
func TestRefusalsAreTruthful(t *testing.T) {
	is := is.New(t)
	s := testServer(nil)
	for _, code := range []fault.Code{
		fault.Overloaded, fault.LimitReached, fault.TargetPause, fault.NoTarget, fault.Leaving, fault.Unavailable, fault.Deadline, fault.TargetLost,
		fault.Unauthorized, fault.NotFound, fault.TooLarge, fault.BadInput, fault.Internal,
	} {
		for _, outcome := range []fault.Outcome{fault.NotRun, fault.Unknown, fault.Partial} {
			w := httptest.NewRecorder()
			q := &request{Server: s, w: w, r: httptest.NewRequest(http.MethodGet, "/", nil), arrived: s.Clock.Now()}
			q.refuse(fault.New(code, "").WithOutcome(outcome))
			is.True(outcome == fault.NotRun || !impliesNotRun(w.Code))
			is.True(w.Header().Get("Retry-After") == "" || impliesNotRun(w.Code))
		}
	}
}
