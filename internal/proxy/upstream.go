package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
)

// open sends the request; its head and its events arrive on channels.
func (s *stream) open(hops []chain.Hop) *upstream {
	ctx, cancel := context.WithCancel(s.r.Context())
	u := &upstream{cancel: cancel, head: make(chan head, 1), events: make(chan event, eventQueue), end: make(chan *fault.Error, 1)}
	send := Send{LastEvent: s.lastEvent, Hops: HopsOf(hops)}
	go func() {
		resp, err := s.roundTrip(ctx, hops[0].Target, send)
		u.head <- head{resp, err}
		if err == nil {
			u.end <- readEvents(ctx, resp.Body, u.events)
		}
	}()
	return u
}

// readEvents passes events on and returns how the stream ended; nil is its
// proper end.
func readEvents(ctx context.Context, body io.ReadCloser, events chan<- event) *fault.Error {
	defer close(events)
	defer func() { _ = body.Close() }()
	r := newEventReader(body)
	for {
		ev, err := r.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.New(fault.TargetLost, "the stream of the target broke off").WithOutcome(fault.Partial).WithCause(err)
		}
		select {
		case events <- ev:
		case <-ctx.Done():
			return fault.New(fault.Canceled, "the stream was given up").WithOutcome(fault.Partial)
		}
	}
}

// refused notes what a refusal says about the targets of the path.
func (s *stream) refused(err *fault.Error) *fault.Error {
	at := s.hops[0].Target
	for _, h := range s.hops {
		if err.Field != "" && h.Target.Address == err.Field {
			at = h.Target
		}
	}
	s.avoid[at.ID] = true
	s.doubtIf(err.Code == fault.Unavailable, at, err)
	if err.Field != "" || err.Code == fault.Leaving {
		go s.check(at)
	}
	_ = level.Info(s.Log).Log("event", "SendRefused", "request", s.ask.ID, "target", at.ID, "first", s.hops[0].Target.ID,
		"outcome", string(err.Outcome), "err", err)
	return err
}

// other handles an answer that is no stream: a failure of the target itself,
// which is passed on unless another target may run the request.
func (s *stream) other(resp *http.Response) *fault.Error {
	a, err := s.readAnswer(resp)
	if err != nil {
		return err
	}
	if s.begun {
		return fault.Newf(fault.TargetLost, "the target answered with status %d", resp.StatusCode).WithOutcome(fault.Partial)
	}
	s.begun = true
	s.deliver(a)
	return nil
}

// ended judges the end of a target's stream.
func (s *stream) ended(failure *fault.Error) *fault.Error {
	if failure != nil && s.r.Context().Err() == nil {
		s.avoid[s.hops[0].Target.ID] = true
		go s.suspect(s.hops[0].Target, failure)
	}
	return failure
}
