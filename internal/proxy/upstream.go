package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

// continuation describes the stream that a response continues. It is nil for the
// first response of a stream.
type continuation struct {
	// contentType is that of the head that has been written.
	contentType string
	// lastEvent is the ID of the last event that has been written.
	lastEvent string
}

// checkHead fails if a response is of another type than the stream, such as the
// description of an error.
func (c *continuation) checkHead(h http.Header) *fault.Error {
	if c == nil || mediaType(h.Get("Content-Type")) == mediaType(c.contentType) {
		return nil
	}
	return fault.Newf(fault.TargetLost, "the target continued a stream with the type %.40q", h.Get("Content-Type")).WithOutcome(fault.Partial)
}

// checkEvent fails if an event that follows others is no event, or if the first
// one of a response does not come after the last event of the stream.
func (c *continuation) checkEvent(ev event, first bool) *fault.Error {
	switch {
	case ev.comment, first && c == nil:
		return nil
	case !ev.named:
		return fault.New(fault.TargetLost, "the target sent text that is no event").WithOutcome(fault.Partial)
	case first && c.lastEvent != "" && !isLater(ev.id, c.lastEvent):
		return fault.Newf(fault.TargetLost, "the target went on with event %.40q after %.40q", ev.id, c.lastEvent).WithOutcome(fault.Partial)
	}
	return nil
}

// isLater reports whether an event ID may follow another one. IDs are increasing
// numbers; of others it is only known that they differ.
func isLater(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != "" && id != last
	}
	return a > b
}

func mediaType(contentType string) string {
	base, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(base))
}

// startUpstream sends the request to the first target in the background; the
// response and its events arrive on the channels of the result.
func (s *stream) startUpstream(hops []chain.Hop) *upstream {
	ctx, cancel := context.WithCancel(s.r.Context())
	u := &upstream{cancel: cancel, head: make(chan responseHead, 1), events: make(chan event, eventQueueLength), end: make(chan *fault.Error, 1)}
	send := TargetHeaders{LastEvent: s.lastEvent, Hops: HopsOf(hops)}
	var begun *continuation
	if s.headWritten {
		begun = &continuation{contentType: s.w.Header().Get("Content-Type"), lastEvent: s.lastEvent}
	}
	go func() {
		resp, head := s.readHead(ctx, targetsOf(hops), send, begun)
		u.head <- head
		if resp == nil {
			return
		}
		u.end <- s.readEvents(ctx, resp, u.events, begun)
		<-ctx.Done()
		for ev := range u.events {
			s.releaseEvent(ev)
		}
	}()
	return u
}

// readHead sends the request along a path and reads the head of the response, and its body
// unless it is a stream. The response is nil unless it is a stream. For a stream
// that has begun it must continue that one.
func (s *stream) readHead(ctx context.Context, path []topo.Target, send TargetHeaders, begun *continuation) (resp *http.Response, head responseHead) {
	var failure *fault.Error
	defer func() {
		if failure != nil {
			resp, head = nil, brokenResponse{failure}
		}
	}()
	defer s.catchPanic(&failure)
	resp, err := s.roundTrip(ctx, path, send)
	switch {
	case err != nil:
		return nil, refusedRequest{err}
	case resp.StatusCode != http.StatusOK:
		return nil, s.readNonStream(resp)
	}
	if err := begun.checkHead(resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, brokenResponse{err}
	}
	return resp, eventStream{resp.StatusCode, resp.Header, isUnframed(resp)}
}

// isUnframed reports whether a response has neither a length nor chunks, so that
// it ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
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
func (s *stream) readEvents(ctx context.Context, resp *http.Response, events chan<- event, begun *continuation) (failure *fault.Error) {
	defer close(events)
	defer s.catchPanic(&failure)
	defer func() { _ = resp.Body.Close() }()
	r := newEventReader(resp.Body)
	for first := true; ; {
		ev, err := r.next()
		if err == io.EOF && first && begun != nil && isUnframed(resp) {
			return fault.New(fault.TargetLost, "the connection ended before the first event").WithOutcome(fault.Partial)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.New(fault.TargetLost, "the target's stream broke off").WithOutcome(fault.Partial).WithCause(err)
		}
		if failure := begun.checkEvent(ev, first); failure != nil {
			return failure
		}
		first = first && ev.comment
		if !s.reserveEvent(ctx, ev) {
			return fault.New(fault.TargetLost, "too many long events are waiting").WithOutcome(fault.Partial)
		}
		select {
		case events <- ev:
		case <-ctx.Done():
			s.releaseEvent(ev)
			return fault.New(fault.Canceled, "the stream was abandoned").WithOutcome(fault.Partial)
		}
	}
}

// noteRefusal excludes the target that caused a refusal from the next paths of
// this request. Depending on the error it also marks the target as suspected
// or checks its entry in the target list.
func (s *stream) noteRefusal(hops []chain.Hop, err *fault.Error) *fault.Error {
	at := hops[0].Target
	if err.Code == fault.Outdated {
		s.noteUnsent(at, err)
		return err
	}
	for _, h := range hops {
		if err.Field != "" && h.Target.Address == err.Field {
			at = h.Target
		}
	}
	// A target that pauses may be asked again after that.
	s.excluded[at.ID] = at.ID != hops[0].Target.ID || s.Limits.Standing(at).PausedFor <= 0
	s.suspectIf(err.Code == fault.Unavailable, at, err)
	if err.Code == fault.TargetLost {
		s.probeBroken(hops[0].Target, err)
	}
	if err.Field != "" || err.Code == fault.Leaving {
		s.background(func() { s.checkListing(at) })
	}
	_ = level.Info(s.Log).Log("event", "SendRefused", "request", s.headers.ID, "target", at.ID, "first", hops[0].Target.ID,
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
		s.probeBroken(s.hops[0].Target, failure)
	}
	return failure
}

// probeBroken probes a first target, which broke off the response.
func (s *stream) probeBroken(t topo.Target, cause error) {
	broken := s.brokenRun(t)
	s.background(func() { s.probe(broken, cause) })
}
