package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
)

const (
	// maxResponseBytes limits the size of a response body that is read.
	maxResponseBytes = 64 << 20

	// maxHeadBytes limits the head of a response that is read.
	maxHeadBytes = 64 << 10

	// maxIdleConnections is the number of idle connections kept per engine or
	// service. Requests other than steps come in bursts, and dialing for each
	// would add a round trip.
	maxIdleConnections = 1024

	dialTimeout = time.Second
)

// Client is the HTTP client of one model engine. Opening a session, running a
// step and truncating a session are idempotent, because the engine keeps the
// results of what it has run.
type Client struct {
	baseURL    string
	httpClient *http.Client
	// noReuseClient opens a new connection for each stream and each order. An
	// idle connection may have been lost, and the body of a stream cannot be sent
	// again; and it may hold a late response to an earlier request, which would be
	// taken as the outcome of an order.
	noReuseClient *http.Client
}

// NewClient returns a client for the engine at a base URL.
func NewClient(base string) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{baseURL: base, httpClient: &http.Client{Transport: httpc.NewTransport(&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
	})}, noReuseClient: &http.Client{Transport: httpc.NewTransport(&http.Transport{
		DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
	})}}
}

// OpenSession opens a session, or returns the state of a session that is
// already open.
func (c *Client) OpenSession(ctx context.Context, r SessionRequest) (SessionState, error) {
	return doJSON[SessionState](ctx, c, http.MethodPost, "/sessions", r)
}

// Step runs positions of a session.
func (c *Client) Step(ctx context.Context, session string, r StepRequest) (StepResult, error) {
	return doJSON[StepResult](ctx, c, http.MethodPost, "/sessions/"+url.PathEscape(session)+"/steps", r)
}

// Truncate discards the positions of a session at and after a position.
func (c *Client) Truncate(ctx context.Context, session string, position int) (SessionState, error) {
	return doJSON[SessionState](ctx, c, http.MethodPost, "/sessions/"+url.PathEscape(session)+"/truncate", TruncateRequest{position})
}

// CloseSession closes a session.
func (c *Client) CloseSession(ctx context.Context, session string) error {
	_, err := doJSON[struct{}](ctx, c, http.MethodDelete, "/sessions/"+url.PathEscape(session), nil)
	return err
}

// Export returns a session with its KV cache.
func (c *Client) Export(ctx context.Context, session string) (SessionExport, error) {
	return doJSON[SessionExport](ctx, c, http.MethodGet, "/sessions/"+url.PathEscape(session)+"/kv", nil)
}

// Import opens a session from an exported KV cache.
func (c *Client) Import(ctx context.Context, kv SessionExport) (SessionState, error) {
	return doJSON[SessionState](ctx, c, http.MethodPost, "/kv", kv)
}

// SendOrder sends an order and returns when it has taken effect. The guard is
// called when a connection is available, just before the order is written to
// it. If the guard returns an error, the order is not sent.
func (c *Client) SendOrder(ctx context.Context, o Order, guard func() error) error {
	_, err := doJSONGuarded[struct{}](ctx, c, c.noReuseClient, http.MethodPost, "/orders", o, guard)
	return err
}

// State returns what the engine has loaded, and its role.
func (c *Client) State(ctx context.Context) (State, error) {
	return doJSON[State](ctx, c, http.MethodGet, "/state", nil)
}

// Load returns the engine's own load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	return doJSON[LoadReport](ctx, c, http.MethodGet, "/load", nil)
}

// doJSON sends a request with a JSON body, if there is one, and decodes the
// JSON response.
func doJSON[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	return doJSONGuarded[T](ctx, c, c.httpClient, method, path, body, nil)
}

// doJSONGuarded is doJSON with a guard, which is called before the body is
// sent.
func doJSONGuarded[T any](ctx context.Context, c *Client, client *http.Client, method, path string, body any, guard func() error) (T, error) {
	var out T
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return out, fault.New(fault.Internal, "cannot encode engine request").WithCause(err)
		}
		payload = bytes.NewReader(b)
		if guard != nil {
			payload = &guardedReader{payload, guard}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, payload)
	if err != nil {
		return out, fault.New(fault.Internal, "invalid engine URL").WithCause(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return out, transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return out, transportError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return out, responseError(resp.StatusCode, b)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, fault.New(fault.Malformed, "cannot decode engine response").WithOutcome(fault.Unknown).WithCause(err)
	}
	return out, nil
}

// guardedReader is a request body that is sent only if its guard returns no
// error. The headers and a short body are written together, so if the guard
// fails, the engine does not receive a complete request.
type guardedReader struct {
	io.Reader
	guard func() error
}

func (g *guardedReader) Read(b []byte) (int, error) {
	if err := g.guard(); err != nil {
		return 0, err
	}
	return g.Reader.Read(b)
}

// responseError returns the error that the engine reported.
func responseError(status int, body []byte) error {
	var e struct{ Code, Detail string }
	if json.Unmarshal(body, &e) != nil || e.Code == "" {
		return fault.Newf(fault.Unavailable, "engine returned HTTP status %d", status).WithOutcome(fault.Unknown)
	}
	return fault.New(fault.Code(e.Code), e.Detail)
}

// transportError returns the error of a request that got no complete response.
func transportError(ctx context.Context, err error) error {
	var own *fault.Error
	switch {
	case errors.As(err, &own):
		// The guard stopped the request before its body was written, or httpc found the
		// response broken.
		return own
	case errors.As(context.Cause(ctx), &own):
		// The request was canceled with a specific cause.
		return own
	case errors.Is(err, syscall.ECONNREFUSED):
		return fault.New(fault.Unavailable, "connection refused").WithCause(err)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return fault.New(fault.Deadline, "no response within the deadline").WithOutcome(fault.Unknown).WithCause(err)
	case ctx.Err() != nil:
		return fault.New(fault.Canceled, "canceled before the response was received").WithOutcome(fault.Unknown).WithCause(err)
	}
	return fault.New(fault.Unavailable, "connection lost").WithOutcome(fault.Unknown).WithCause(err)
}
