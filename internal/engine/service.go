package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
)

type (
	// Service is the HTTP client of one plain service.
	Service struct {
		baseURL string
		// transport sends each request at most once, on a new connection: responses
		// name no request, so that one to an earlier request on the same connection
		// could not be told from that of the call.
		transport http.RoundTripper
	}

	// ServiceCall is one request to a service.
	ServiceCall struct {
		Method string
		// Path includes the query string.
		Path   string
		Header http.Header
		Body   []byte
	}

	// ServiceResponse is the response to a call.
	ServiceResponse struct {
		Status int
		Header http.Header
		Body   []byte
	}
)

// MaxServiceResponseBytes limits the body of a response, so that it fits into a
// link message.
const MaxServiceResponseBytes = 8 << 20

// NewService returns a client for the service at a base URL.
func NewService(base string) *Service {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Service{baseURL: base, transport: newNoRetryTransport(dial)}
}

// newNoRetryTransport returns a transport that never sends a request twice.
// http.Transport retries a request when a reused connection breaks before the
// response and it considers the request replayable (a safe method, or
// an Idempotency-Key header). With a new connection for each request, this cannot
// happen.
func newNoRetryTransport(dial httpc.DialFunc) http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return httpc.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, Protocols: protocols, MaxResponseHeaderBytes: maxHeadBytes})
}

// Do sends a call and returns the response. Redirects are not followed. An error
// has the outcome NotRun only if no connection was established.
func (s *Service) Do(ctx context.Context, c ServiceCall) (ServiceResponse, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.Method, s.baseURL+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return ServiceResponse{}, fault.New(fault.BadInput, "call is not a valid HTTP request").WithCause(err)
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	req.GetBody = nil
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return ServiceResponse{}, callError(ctx, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxServiceResponseBytes+1))
	if err != nil {
		return ServiceResponse{}, callError(ctx, err, true)
	}
	if len(body) > MaxServiceResponseBytes {
		return ServiceResponse{}, fault.New(fault.TooLarge, "service response is too large").WithOutcome(fault.Unknown)
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unframed && len(body) == 0 && resp.StatusCode/100 == 2 && c.Method != http.MethodHead {
		// An empty body would have a length; the service has stopped in its head.
		return ServiceResponse{}, fault.New(fault.Unavailable, "connection ended before the body").WithOutcome(fault.Unknown)
	}
	return ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// callError returns the error of a call that got no complete response. Its
// outcome is NotRun only if no connection was established.
func callError(ctx context.Context, err error, connected bool) error {
	f := fault.As(transportError(ctx, err))
	if connected {
		return f.WithOutcome(fault.Unknown)
	}
	return f.WithOutcome(fault.NotRun)
}
