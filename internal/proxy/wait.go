package proxy

import (
	"context"
	"strconv"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/topo"
)

const (
	// capacityPollInterval is the interval at which a waiting request checks
	// for free capacity or for a free retry.
	capacityPollInterval = 20 * time.Millisecond
	// capacityWaitShare is the part of the route's objective that a request may
	// wait for free capacity.
	capacityWaitShare = 0.4
	// maxCapacityWaitShare is the part of the objective that a request may wait for as
	// long as less urgent ones do. A target with room reads a usual prompt in less than
	// the rest, so that the first event still comes in time.
	maxCapacityWaitShare = 0.8
)

// The reasons of refusals for lack of room, as counted.
const (
	// refusedWaited is for requests that found no room while they waited, refusedTurn
	// for those that others went before until the end.
	refusedWaited   = "Waited"
	refusedTurn     = "Turn"
	refusedHopeless = "Hopeless"
)

// roomWait is the wait of one stream for room at the targets.
type roomWait struct {
	*stream
	// until is the end of the wait.
	until time.Time
	// place is nil for services without ranks and for requests that have begun.
	place *sched.Waiter
	// began is when the request first had to wait; zero before.
	began time.Time
}

// capacityWait is how long after its arrival a request may wait for room. Where others
// are less urgent, it is as long as theirs.
func (s *stream) capacityWait() time.Duration {
	wait := capacityWaitShare * float64(s.route.Objective)
	longest := capacityWaitShare * float64(s.Sched.LongestObjective(s.service.Name, s.priority))
	return time.Duration(max(wait, min(longest, maxCapacityWaitShare*float64(s.route.Objective))))
}

// findPath returns a path with free capacity for the request, and counts it
// against the limit of the first target. It waits for capacity up to
// capacityWait, but does not wait for layers that no target holds.
func (s *stream) findPath() ([]chain.Hop, *fault.Error) {
	room := roomWait{stream: s, until: s.arrived.Add(s.capacityWait())}
	wait := limitWait{request: s.request, until: room.until}
	if s.begun {
		wait.until = s.Clock.Now().Add(s.retryWait())
	} else {
		room.enter()
	}
	defer room.end()
	defer wait.end()
	for {
		hops, f, reason := room.path()
		if f == nil {
			if s.Limits.Take(hops[0].Target) {
				return hops, nil
			}
			// Another request has taken the place.
			continue
		}
		switch f.Code {
		case fault.TargetPause:
			f = s.awaitPause(f, wait.until)
		case fault.TargetLimit:
			f = wait.sleep(f)
		case fault.Overloaded:
			f = room.sleep(f, reason)
		}
		if f != nil {
			return nil, f
		}
	}
}

// enter takes a place in the queue of the service, if the request may wait.
func (w *roomWait) enter() {
	if w.Clock.Now().Before(w.until) {
		w.place = w.Sched.Wait(w.service.Name, w.need(), w.arrived)
	}
}

// path returns a path with free capacity if it is the request's turn. Otherwise it returns
// the failure, and the reason that is counted if that ends the wait.
func (w *roomWait) path() ([]chain.Hop, *fault.Error, string) {
	if !w.place.Turn() {
		return nil, fault.New(fault.Overloaded, "more urgent requests wait for the targets' memory and slots"), refusedTurn
	}
	hops, err := w.choosePath(w.begun)
	if err != nil {
		return nil, fault.As(err), refusedWaited
	}
	return hops, nil, ""
}

// sleep waits until the request may look for room again. It returns the failure if the
// time is over or if no room is to be expected in it.
func (w *roomWait) sleep(failure *fault.Error, reason string) *fault.Error {
	if f := w.goOn(failure, reason); f != nil {
		return f
	}
	if err := awaitOr(w.r.Context(), func(done func()) func() { return w.Clock.After(capacityPollInterval, done) }, w.place.Woken()); err != nil {
		return fault.New(fault.Canceled, "the caller disconnected").WithCause(err)
	}
	return nil
}

// goOn returns nil if the request goes on waiting, or the failure if the time is over or
// if no room is to be expected in it.
func (w *roomWait) goOn(failure *fault.Error, reason string) *fault.Error {
	now := w.Clock.Now()
	if !now.Before(w.until) {
		return w.refused(failure, reason)
	}
	if w.began.IsZero() {
		w.began = now
		w.gauge(1)
		if after := w.hopeless(w.until.Sub(now)); after > 0 {
			return w.refused(failure.WithRetryAfter(after), refusedHopeless)
		}
	}
	return nil
}

// awaitOr waits until the function that it passes to after is called, or until woken
// receives. When the context ends first, it returns the context's cause.
func awaitOr(ctx context.Context, after func(done func()) (cancel func()), woken <-chan struct{}) error {
	done := make(chan struct{})
	defer after(func() { close(done) })()
	select {
	case <-done:
	case <-woken:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}

// hopeless returns the time after which room is likely, if the request cannot have any
// within the time left for its wait; 0 otherwise.
func (w *roomWait) hopeless(left time.Duration) time.Duration {
	if w.place == nil {
		return 0
	}
	candidates := w.candidates()
	limits := w.limits(candidates)
	prompts := chain.ShortestPromptWait(w.service.Model, candidates, topo.Layers{To: w.service.Model.Layers})
	if over := prompts - limits.MaxPromptWait; limits.MaxPromptWait > 0 && over > left {
		return over
	}
	// The rate of starts is no reason to give up: while few requests came, it says
	// nothing of the room.
	return 0
}

// refused counts a refusal for lack of room. It returns the failure.
func (w *roomWait) refused(failure *fault.Error, reason string) *fault.Error {
	if w.place != nil {
		w.Metrics.GetOrCreateCounter(`shallotcourse_sched_refusals_total{Priority="` + w.priorityLabel() + `",Reason="` + reason + `"}`).Inc()
	}
	return failure
}

// end ends the wait.
func (w *roomWait) end() {
	w.place.Leave()
	if !w.began.IsZero() {
		w.gauge(-1)
		w.waited += w.Clock.Now().Sub(w.began)
	}
}

// gauge adds n to the number of requests that wait.
func (w *roomWait) gauge(n int) {
	if w.place != nil {
		w.Metrics.GetOrCreateGauge(`shallotcourse_sched_waiting{Priority="`+w.priorityLabel()+`"}`, nil).Add(float64(n))
	}
}

func (q *request) priorityLabel() string { return strconv.Itoa(sched.Clamp(q.priority)) }
