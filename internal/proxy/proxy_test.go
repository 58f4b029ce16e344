package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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
		{[]byte("id: 1\ndata: a\n\n"), "1", false, true}, {[]byte("id:2\r\ndata: b\r\ndata: c\r\n\r\n"), "2", false, true},
		{[]byte(": note\n\n"), "", true, false},
	} {
		got, err := r.next()
		is.NoErr(err)
		is.Equal(string(got.raw), string(want.raw))
		is.Equal(got.id, want.id)
		is.Equal(got.comment, want.comment)
		is.Equal(got.named, want.named)
	}
	_, err := r.next()
	is.Equal(fault.As(err).Outcome, fault.Partial)
	_, err = newEventReader(strings.NewReader("")).next()
	is.Equal(err, io.EOF)
	_, err = newEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes))).next()
	is.True(fault.Is(err, fault.TooLarge))
}

// Guards against a part of a long line that is taken for an ID, from which the
// stream would then resume, or for the end of its event.
func TestEventReaderLongLines(t *testing.T) {
	is := is.New(t)
	for _, line := range []string{
		"data: " + strings.Repeat("x", eventBuffer-len("data: ")) + "id: 9", "data: " + strings.Repeat("x", eventBuffer-len("data: ")),
		"id: 7\ndata: " + strings.Repeat("x", 3*eventBuffer-len("id: 7\ndata: ")) + ": y",
	} {
		got, err := newEventReader(strings.NewReader(line + "\nid: 3\n\n")).next()
		is.NoErr(err)
		is.Equal(string(got.raw), line+"\nid: 3\n\n")
		is.Equal(got.id, "3")
		is.True(!got.comment)
	}
	got, err := newEventReader(strings.NewReader("data: " + strings.Repeat("x", eventBuffer-len("data: ")) + "id: 9\n\n")).next()
	is.NoErr(err)
	is.Equal(got.id, "")
	is.True(!got.comment)
}

// Guards against a request that is sent along a path of which a target has said that it
// takes no work while the request waited for a retry.
func TestNothingIsSentToATargetThatHasJustLeft(t *testing.T) {
	is := is.New(t)
	s := testServer(nil)
	s.Limits = limit.NewTargetLimiter(s.Clock, limit.Gateway{}, nil)
	first, second := topo.Target{ID: "a", Started: 1}, topo.Target{ID: "b", Started: 1}
	s.Fleets.ApplySync(topo.Version{Number: 1}, []topo.Target{first, second}, time.Minute, "g2")
	is.True(s.mayReach([]topo.Target{first, second}) == nil)
	s.Limits.Leaves(second)
	st := &stream{request: &request{Server: s}}
	_, failure := st.startRun([]chain.Hop{{Target: first}, {Target: second}})
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
