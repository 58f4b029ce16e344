package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/topo"
)

// headersDialect keeps the headers of the last request to a target.
type headersDialect struct {
	Dialect
	sent TargetHeaders
}

func (d *headersDialect) WriteRequest(_ http.Header, s TargetHeaders) { d.sent = s }

// Guards against a priority that reaches targets of services where all requests are
// equally urgent, where they have always run without one, and against one that targets
// do not know.
func TestPriorityIsSentWhereItDiffers(t *testing.T) {
	is := is.New(t)
	d := &headersDialect{}
	s := testServer(d)
	s.Sched.Configure(1, map[string][]sched.Class{"ranked": {{Priority: 0}, {Priority: 12}}, "equal": {{Priority: 3}}})
	for _, c := range []struct {
		service  string
		priority int
		want     TargetHeaders
	}{{"ranked", 12, TargetHeaders{Ranked: true, Priority: 9}}, {"ranked", 0, TargetHeaders{Ranked: true}}, {"equal", 3, TargetHeaders{}}} {
		q := &request{Server: s, r: httptest.NewRequest(http.MethodGet, "/", nil), service: topo.Service{Name: c.service}, priority: c.priority}
		q.outgoing(context.Background(), topo.Target{}, TargetHeaders{})
		is.Equal(d.sent.Ranked, c.want.Ranked)
		if c.want.Ranked {
			is.Equal(d.sent.Priority, c.want.Priority)
		}
	}
}

// Guards against urgent requests that give up before less urgent ones do, and against
// longer waits where all are equally urgent.
func TestUrgentRequestsWaitAsLong(t *testing.T) {
	is := is.New(t)
	s := testServer(nil)
	s.Sched.Configure(1, map[string][]sched.Class{"ranked": {
		{Priority: 0, Objective: 500 * time.Millisecond}, {Priority: 1, Objective: 100 * time.Millisecond}, {Priority: 2, Objective: time.Second},
	}})
	for _, c := range []struct {
		service         string
		priority        int
		objective, want time.Duration
	}{
		{"ranked", 0, 500 * time.Millisecond, 400 * time.Millisecond}, {"ranked", 1, 100 * time.Millisecond, 80 * time.Millisecond},
		{"ranked", 2, time.Second, 400 * time.Millisecond}, {"equal", 0, 500 * time.Millisecond, 200 * time.Millisecond}, {"ranked", 0, 0, 0},
	} {
		q := &request{Server: s, service: topo.Service{Name: c.service}, priority: c.priority, route: topo.Route{Objective: c.objective}}
		is.Equal((&stream{request: q}).capacityWait(), c.want)
	}
}

// Guards against less urgent callers that return before urgent ones after a refusal.
func TestUrgentCallersReturnFirst(t *testing.T) {
	is := is.New(t)
	s := testServer(nil)
	s.Sched.Configure(1, map[string][]sched.Class{"ranked": {{Priority: 0}, {Priority: 1}, {Priority: 2}}})
	last := time.Duration(0)
	for p := range 3 {
		q := &request{Server: s, service: topo.Service{Name: "ranked"}, priority: p}
		after := q.retryAfter(fault.New(fault.Overloaded, ""))
		is.True(after >= max(last, time.Duration(1+p)*minRetryAfter))
		last = after
	}
}

// Guards against a burst after a quiet time that is refused at once, because few requests
// were sent while few came.
func TestWaitBehindOthersIsNotHopeless(t *testing.T) {
	is := is.New(t)
	s := newCrossingSite(nil)
	s.Sched.Configure(1, map[string][]sched.Class{"llm": {{Priority: 0, Objective: 500 * time.Millisecond}, {Priority: 1, Objective: 500 * time.Millisecond}}})
	q := &request{Server: s.Server, service: s.service, route: topo.Route{Objective: 500 * time.Millisecond}}
	w := roomWait{stream: &stream{request: q, excluded: map[string]bool{}, tokens: 100}}
	s.Sched.Started("llm", w.need())
	for range 20 {
		w.place = s.Sched.Wait("llm", w.need(), s.clock.Now())
	}
	is.Equal(w.hopeless(200*time.Millisecond), time.Duration(0))
}
