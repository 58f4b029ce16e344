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
)

const (
	// maxAnswerBytes bounds an answer of the engine.
	maxAnswerBytes = 64 << 20

	// idleConnections is kept per engine for requests beside the steps, which
	// come in bursts; a new dial for each would add a round trip.
	idleConnections = 1024

	dialTimeout = time.Second
)

// Client talks to one model engine. Steps, sessions and truncations may be
// repeated without harm, since the engine keeps what it has run.
type Client struct {
	base string
	http *http.Client
	// streams makes a new connection for each stream. A kept one may have been
	// lost meanwhile, and the body of a stream cannot be sent again.
	streams *http.Client
}

// NewClient returns a client of the engine at a base URL.
func NewClient(base string) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}}, streams: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Open opens a session or returns the state of an open one.
func (c *Client) Open(ctx context.Context, r SessionRequest) (SessionState, error) {
	return ask[SessionState](ctx, c, http.MethodPost, "/sessions", r)
}

// Step runs positions of a session.
func (c *Client) Step(ctx context.Context, session string, r StepRequest) (StepResult, error) {
	return ask[StepResult](ctx, c, http.MethodPost, "/sessions/"+url.PathEscape(session)+"/steps", r)
}

// Truncate drops the positions of a session from one on.
func (c *Client) Truncate(ctx context.Context, session string, position int) (SessionState, error) {
	return ask[SessionState](ctx, c, http.MethodPost, "/sessions/"+url.PathEscape(session)+"/truncate", TruncateRequest{position})
}

// Cancel frees a session.
func (c *Client) Cancel(ctx context.Context, session string) error {
	_, err := ask[struct{}](ctx, c, http.MethodDelete, "/sessions/"+url.PathEscape(session), nil)
	return err
}

// Export returns the KV of a session.
func (c *Client) Export(ctx context.Context, session string) (KV, error) {
	return ask[KV](ctx, c, http.MethodGet, "/sessions/"+url.PathEscape(session)+"/kv", nil)
}

// Import opens a session with an exported KV.
func (c *Client) Import(ctx context.Context, kv KV) (SessionState, error) {
	return ask[SessionState](ctx, c, http.MethodPost, "/kv", kv)
}

// Do runs an order and returns when it is in effect. The guard is called when
// a connection is ready, just before the order is written to it, and stops the
// order by a failure.
func (c *Client) Do(ctx context.Context, o Order, guard func() error) error {
	_, err := askGuarded[struct{}](ctx, c, http.MethodPost, "/orders", o, guard)
	return err
}

// State returns what the engine holds.
func (c *Client) State(ctx context.Context) (State, error) {
	return ask[State](ctx, c, http.MethodGet, "/state", nil)
}

// Load returns the engine's own load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	return ask[LoadReport](ctx, c, http.MethodGet, "/load", nil)
}

func ask[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	return askGuarded[T](ctx, c, method, path, body, nil)
}

func askGuarded[T any](ctx context.Context, c *Client, method, path string, body any, guard func() error) (T, error) {
	var out T
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return out, fault.New(fault.Internal, "request does not encode").WithCause(err)
		}
		payload = bytes.NewReader(b)
		if guard != nil {
			payload = &guarded{payload, guard}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return out, fault.New(fault.Internal, "engine address is not usable").WithCause(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return out, lost(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return out, refusal(resp.StatusCode, b)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, fault.New(fault.Malformed, "engine answer does not decode").WithOutcome(fault.Unknown).WithCause(err)
	}
	return out, nil
}

// guarded is a body that is not sent unless its guard passes. The headers and
// a short body are written together, so a failing guard sends nothing whole.
type guarded struct {
	io.Reader
	guard func() error
}

func (g *guarded) Read(b []byte) (int, error) {
	if err := g.guard(); err != nil {
		return 0, err
	}
	return g.Reader.Read(b)
}

// refusal returns the failure that the engine reported.
func refusal(status int, body []byte) error {
	var e struct{ Code, Detail string }
	if json.Unmarshal(body, &e) != nil || e.Code == "" {
		return fault.Newf(fault.Unavailable, "engine answered with status %d", status).WithOutcome(fault.Unknown)
	}
	return fault.New(fault.Code(e.Code), e.Detail)
}

// lost returns the failure of a request without an answer.
func lost(ctx context.Context, err error) error {
	var own *fault.Error
	switch {
	case errors.As(err, &own):
		// The guard stopped the request before it was written.
		return own
	case errors.As(context.Cause(ctx), &own):
		// The owner of the request ended it for a reason.
		return own
	case errors.Is(err, syscall.ECONNREFUSED):
		return fault.New(fault.Unavailable, "connection refused").WithCause(err)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return fault.New(fault.Deadline, "no answer within the deadline").WithOutcome(fault.Unknown).WithCause(err)
	case ctx.Err() != nil:
		return fault.New(fault.Canceled, "canceled before an answer").WithOutcome(fault.Unknown).WithCause(err)
	}
	return fault.New(fault.Unavailable, "connection lost").WithOutcome(fault.Unknown).WithCause(err)
}
