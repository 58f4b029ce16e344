package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"shallotcourse/internal/fault"
)

type (
	// Service talks to one plain service.
	Service struct {
		base string
		// repeat keeps connections and may send a request again.
		repeat http.RoundTripper
		// once sends each request at most once.
		once http.RoundTripper
	}

	// ServiceCall is one call of a service.
	ServiceCall struct {
		Method string
		// Path holds the query, too.
		Path       string
		Header     http.Header
		Body       []byte
		Repeatable bool
	}

	// ServiceAnswer is the answer to a call.
	ServiceAnswer struct {
		Status int
		Header http.Header
		Body   []byte
	}
)

// MaxServiceBytes bounds the body of an answer, so that it fits a message.
const MaxServiceBytes = 8 << 20

// NewService returns a client of the service at a base URL.
func NewService(base string) *Service {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Service{
		base:   base,
		repeat: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute},
		once:   newOnceTransport(dial),
	}
}

// newOnceTransport returns a transport that never sends a request twice.
// http.Transport sends a request again when a reused connection breaks before
// the answer and the request looks replayable (a safe method, or a header
// Idempotency-Key). With a new connection for each request this cannot occur.
func newOnceTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, Protocols: protocols}
}

// Do sends a call and returns the answer. A failure has the outcome NotRun
// only if no connection was established; redirects are not followed.
func (s *Service) Do(ctx context.Context, c ServiceCall) (ServiceAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.Method, s.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return ServiceAnswer{}, fault.New(fault.BadInput, "call does not form a request").WithCause(err)
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	transport := s.repeat
	if !c.Repeatable {
		transport = s.once
		req.GetBody = nil
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return ServiceAnswer{}, outcomeOf(ctx, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxServiceBytes+1))
	if err != nil {
		return ServiceAnswer{}, outcomeOf(ctx, err, true)
	}
	if len(body) > MaxServiceBytes {
		return ServiceAnswer{}, fault.New(fault.TooLarge, "answer of the service is too large").WithOutcome(fault.Unknown)
	}
	return ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func outcomeOf(ctx context.Context, err error, connected bool) error {
	f := fault.As(lost(ctx, err))
	if connected {
		return f.WithOutcome(fault.Unknown)
	}
	return f.WithOutcome(fault.NotRun)
}
