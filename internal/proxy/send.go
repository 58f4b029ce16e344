package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

type (
	// sendCheck is the check of a request right before it is sent. That may be long
	// after its targets were chosen, as the connection is opened in between.
	sendCheck struct {
		check func() *fault.Error
		// failure is what the check has returned. Nothing has been sent if it is set.
		failure atomic.Pointer[fault.Error]
	}

	// sendCheckKey is the context key of a request's sendCheck.
	sendCheckKey struct{}

	// checkedConn is a connection that runs a check before its first byte.
	checkedConn struct {
		net.Conn
		// check is nil once it has passed. Only the one goroutine that writes to the
		// connection uses it.
		check *sendCheck
	}
)

// CheckSends returns a dial function for the client that sends requests to targets. Its
// connections ask the proxy right before they send a request.
func CheckSends(dial httpc.DialFunc) httpc.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		check, ok := ctx.Value(sendCheckKey{}).(*sendCheck)
		if err != nil || !ok {
			return conn, err
		}
		return &checkedConn{Conn: conn, check: check}, nil
	}
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	if c.check != nil {
		if err := c.check.run(); err != nil {
			return 0, err
		}
		c.check = nil
	}
	return c.Conn.Write(b)
}

func (c *sendCheck) run() error {
	if failure := c.check(); failure != nil {
		c.failure.Store(failure)
		return failure
	}
	return nil
}

// context returns a context with which CheckSends runs the check.
func (c *sendCheck) context(ctx context.Context) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, c)
}

// checkSend returns a check of what is sent to a target, for itself or for others. It
// fails if one of those that get the request must not get it any more. Otherwise it
// records the age of the target list.
func (q *request) checkSend(to topo.Target, getting []topo.Target) *sendCheck {
	return &sendCheck{check: func() *fault.Error {
		failure := q.mayReach(getting)
		if failure == nil {
			q.noteSend(to)
		}
		return failure
	}}
}

// mayReach returns the reason why no request may be sent to some targets that were
// chosen before: the target list is too old, or one of them has left since.
func (s *Server) mayReach(targets []topo.Target) *fault.Error {
	if err := s.listError(); err != nil {
		return err
	}
	fleet := s.Fleets.Section().Value()
	for _, t := range targets {
		listed, ok := fleet.Target(t.ID)
		switch {
		case !ok, listed.Started > t.Started, listed.Started == t.Started && listed.State != topo.Ready:
			return fault.Newf(fault.Outdated, "target %s has left since it was chosen", t.ID)
		case !s.Limits.Standing(t).TakesWork():
			return fault.Newf(fault.Outdated, "target %s has said since it was chosen that it takes no work", t.ID)
		}
	}
	return nil
}

// listError returns an error while the target list is too old to send requests by.
func (s *Server) listError() *fault.Error {
	if s.Fleets.Usable() {
		return nil
	}
	return fault.Newf(fault.Outdated, "the target list was read %s ago", s.Fleets.Age().Round(time.Millisecond))
}

// awaitList waits for some time until requests may be sent by the target list.
func (q *request) awaitList(wait time.Duration) *fault.Error {
	for until := q.Clock.Now().Add(wait); ; {
		err := q.listError()
		if err == nil {
			return nil
		}
		if !q.Clock.Now().Before(until) {
			q.Metrics.GetOrCreateCounter("shallotcourse_list_stale_refusals_total").Inc()
			return err
		}
		if err := timer.Sleep(q.r.Context(), q.Clock, refreshPollInterval); err != nil {
			return fault.New(fault.Canceled, "the caller disconnected").WithCause(err)
		}
	}
}

// noteSend records the age of the target list that a send to t relies on.
func (q *request) noteSend(t topo.Target) {
	age := q.Fleets.Age()
	q.Metrics.GetOrCreateHistogram("shallotcourse_send_list_age_seconds").Update(age.Seconds())
	raise(&q.oldestList, age)
	if age > q.Fleets.MaxAge() {
		q.Metrics.GetOrCreateCounter("shallotcourse_sends_on_old_list_total").Inc()
		_ = level.Info(q.Log).Log("event", "SendOnOldList", "request", q.headers.ID, "target", t.ID, "listAge", age.Round(time.Millisecond),
			"list", q.Fleets.Section().Value().Version)
	}
}

// noteUnsent records why a request was not sent to a target that was chosen.
func (q *request) noteUnsent(t topo.Target, why *fault.Error) {
	q.Metrics.GetOrCreateCounter("shallotcourse_sends_withheld_total").Inc()
	_ = level.Info(q.Log).Log("event", "SendWithheld", "request", q.headers.ID, "target", t.ID, "err", why)
}

// raise sets d to at least a value.
func raise(d *atomic.Int64, to time.Duration) {
	for known := d.Load(); int64(to) > known && !d.CompareAndSwap(known, int64(to)); {
		known = d.Load()
	}
}

// targetsOf returns the targets of a path.
func targetsOf(hops []chain.Hop) []topo.Target {
	out := make([]topo.Target, len(hops))
	for i, h := range hops {
		out[i] = h.Target
	}
	return out
}
