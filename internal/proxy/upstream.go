package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

// startUpstream sends the request to the first target in the background; the
// response and its events arrive on the channels of the result.
func (s *stream) startUpstream(hops []chain.Hop) *upstream {
	ctx, cancel := context.WithCancel(s.r.Context())
	u := &upstream{cancel: cancel, head: make(chan responseHead, 1), events: make(chan event, eventQueueLength), end: make(chan *fault.Error, 1)}
	send := TargetHeaders{LastEvent: s.lastEvent, Hops: HopsOf(hops)}
	go func() {
		resp, head := s.readHead(ctx, hops[0].Target, send)
		u.head <- head
		if resp != nil {
			u.end <- s.readEvents(ctx, resp.Body, u.events)
		}
	}()
	return u
}

// readHead sends the request and reads the head of the response, and its body
// unless it is a stream. The response is nil unless it is a stream.
func (s *stream) readHead(ctx context.Context, t topo.Target, send TargetHeaders) (resp *http.Response, head responseHead) {
	var failure *fault.Error
	defer func() {
		if failure != nil {
			resp, head = nil, brokenResponse{failure}
		}
	}()
	defer s.catchPanic(&failure)
	resp, err := s.roundTrip(ctx, t, send)
	switch {
	case err != nil:
		return nil, refusedRequest{err}
	case resp.StatusCode != http.StatusOK:
		return nil, s.readNonStream(resp)
	}
	return resp, eventStream{resp.StatusCode, resp.Header, resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
}

// readNonStream reads a response that is not a stream; roundTrip has already
// handled refusals.
func (s *stream) readNonStream(resp *http.Response) responseHead {
	whole, err := s.readResponse(resp)
	if err != nil {
		return brokenResponse{err}
	}
	return wholeResponse{whole}
}

// readEvents sends the events of a stream to the channel and returns the error
// that ended the stream, or nil if it ended properly.
func (s *stream) readEvents(ctx context.Context, body io.ReadCloser, events chan<- event) (failure *fault.Error) {
	defer close(events)
	defer s.catchPanic(&failure)
	defer func() { _ = body.Close() }()
	r := newEventReader(body)
	for {
		ev, err := r.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.New(fault.TargetLost, "the target's stream broke off").WithOutcome(fault.Partial).WithCause(err)
		}
		select {
		case events <- ev:
		case <-ctx.Done():
			return fault.New(fault.Canceled, "the stream was abandoned").WithOutcome(fault.Partial)
		}
	}
}

// noteRefusal excludes the target that caused a refusal from the next paths of
// this request. Depending on the error it also marks the target as suspected
// or checks its entry in the target list.
func (s *stream) noteRefusal(err *fault.Error) *fault.Error {
	at := s.hops[0].Target
	for _, h := range s.hops {
		if err.Field != "" && h.Target.Address == err.Field {
			at = h.Target
		}
	}
	// A target that pauses may be asked again after that.
	s.excluded[at.ID] = at.ID != s.hops[0].Target.ID || s.Limits.Standing(at).PausedFor <= 0
	s.suspectIf(err.Code == fault.Unavailable, at, err)
	if err.Code == fault.TargetLost {
		s.probeBroken(err)
	}
	if err.Field != "" || err.Code == fault.Leaving {
		s.background(func() { s.checkListing(at) })
	}
	_ = level.Info(s.Log).Log("event", "SendRefused", "request", s.headers.ID, "target", at.ID, "first", s.hops[0].Target.ID,
		"outcome", string(err.Outcome), "err", err)
	return err
}

// passOn passes a response that is not a stream on to the caller. It returns a
// failure if the head of a stream has been written already; mayContinue then
// decides whether another target is tried.
func (s *stream) passOn(resp *response) *fault.Error {
	if s.headWritten {
		return fault.Newf(fault.TargetLost, "the target responded with status %d", resp.status).WithOutcome(fault.Partial)
	}
	s.headWritten = true
	s.writeResponse(resp)
	return nil
}

// noteEnd excludes the first target from the next paths if its stream ended
// with an error, and probes it.
func (s *stream) noteEnd(failure *fault.Error) *fault.Error {
	if failure != nil && s.r.Context().Err() == nil {
		s.excluded[s.hops[0].Target.ID] = true
		s.probeBroken(failure)
	}
	return failure
}

// probeBroken probes the first target, which broke off the response.
func (s *stream) probeBroken(cause error) {
	broken := s.brokenRun(s.hops[0].Target)
	s.background(func() { s.probe(broken, cause) })
}
