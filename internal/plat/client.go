package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
	"shallotcourse/internal/timer"
)

const (
	// defaultTimeout bounds one request to the platform. It is below the 2 s
	// between polls, so that a connection that does not answer delays at most
	// one poll.
	defaultTimeout = 1500 * time.Millisecond
	// defaultResponseBytes and maxHeadBytes bound the body and the head of one response
	// of the platform.
	defaultResponseBytes = 32 << 20
	maxHeadBytes         = 64 << 10
)

type (
	// Client is the HTTP client of the platform. Table and Instances both
	// have a List, so the interfaces are fields rather than methods.
	Client struct {
		Table     Table
		Objects   Objects
		Instances Instances
		Weights   Weights
	}

	// Option configures a Transport.
	Option func(*Transport)

	// Transport sends requests to a platform and converts failures to fault
	// errors. Timeouts, rate limits and the retry of a read that timed out are
	// implemented here only.
	Transport struct {
		base    string
		http    *http.Client
		clock   timer.Service
		timeout time.Duration
		// responseBytes bounds the body of a response.
		responseBytes int64
		reads         *Bucket
		writes        *Bucket
		decodeError   func(Request, *http.Response) error
	}

	// timeoutError marks a request that was sent and not answered within the
	// timeout.
	timeoutError struct{ error }

	// Request is one call to a platform.
	Request struct {
		Method, Path string
		Query        url.Values
		Body         []byte
		// Effect is true if the request changes state, so that its outcome is
		// unknown when the response is lost.
		Effect bool
		// Wait is the time for which the platform may delay the response in a
		// long poll; it is added to the timeout.
		Wait time.Duration
	}

	table     struct{ t *Transport }
	objects   struct{ t *Transport }
	instances struct{ t *Transport }
	weights   struct{ t *Transport }
)

// WithTimeout sets the timeout of one request.
func WithTimeout(d time.Duration) Option { return func(t *Transport) { t.timeout = d } }

// WithResponseBytes sets the most bytes that the body of a response may have.
func WithResponseBytes(n int64) Option { return func(t *Transport) { t.responseBytes = n } }

// WithClock sets the timer service.
func WithClock(s timer.Service) Option { return func(t *Transport) { t.clock = s } }

// WithRates limits the reads and writes of this process per second; 0 means no
// limit.
func WithRates(readsPerSecond, writesPerSecond float64) Option {
	return func(t *Transport) {
		t.reads = NewBucket(readsPerSecond, int(readsPerSecond/4)+1)
		t.writes = NewBucket(writesPerSecond, int(writesPerSecond/4)+1)
	}
}

// WithTransport sets the HTTP transport.
func WithTransport(rt http.RoundTripper) Option {
	return func(t *Transport) { t.http = &http.Client{Transport: rt} }
}

// WithErrorDecoder sets the function that converts a response other than 2xx to an
// error.
func WithErrorDecoder(f func(Request, *http.Response) error) Option {
	return func(t *Transport) { t.decodeError = f }
}

// NewTransport returns a transport to the platform at a base URL.
func NewTransport(baseURL string, options ...Option) *Transport {
	t := &Transport{base: baseURL, clock: timer.System{}, timeout: defaultTimeout, responseBytes: defaultResponseBytes, decodeError: responseError}
	for _, o := range options {
		o(t)
	}
	if t.http == nil {
		dialer := &net.Dialer{Timeout: t.timeout}
		t.http = &http.Client{Transport: httpc.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
			MaxResponseHeaderBytes: maxHeadBytes,
		})}
	}
	return t
}

// NewClient returns a client of the platform at a base URL.
func NewClient(baseURL string, options ...Option) *Client {
	t := NewTransport(baseURL, options...)
	return &Client{Table: table{t}, Objects: objects{t}, Instances: instances{t}, Weights: weights{t}}
}

// Do sends a request and returns the body of a 2xx response. A read that timed
// out is retried once on a new connection: its connection may have stopped
// working, and so may the idle ones, which Do closes.
func (t *Transport) Do(ctx context.Context, r Request) ([]byte, error) {
	data, _, err := t.DoWithHeader(ctx, r)
	return data, err
}

// DoWithHeader is like Do and also returns the header of the response, whatever
// its status; nil if there was no response.
func (t *Transport) DoWithHeader(ctx context.Context, r Request) ([]byte, http.Header, error) {
	data, header, err := t.attempt(ctx, r)
	var timedOut *timeoutError
	if err == nil || !eris.As(err, &timedOut) {
		return data, header, err
	}
	t.http.CloseIdleConnections()
	if r.Effect || ctx.Err() != nil {
		return nil, header, err
	}
	return t.attempt(ctx, r)
}

func (t *Transport) attempt(ctx context.Context, r Request) ([]byte, http.Header, error) {
	ctx, cancel := timer.WithTimeout(ctx, t.clock, t.timeout+r.Wait)
	defer cancel()
	bucket := t.reads
	if r.Effect {
		bucket = t.writes
	}
	if err := bucket.Wait(ctx, t.clock); err != nil {
		return nil, nil, err
	}
	// Before a connection is obtained, no byte of the request can have been
	// sent; after that, a failure leaves the outcome unknown.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, t.url(r), bytes.NewReader(r.Body))
	if err != nil {
		return nil, nil, fault.New(fault.Internal, "cannot create a request to the platform").WithCause(err)
	}
	// Without GetBody, net/http does not resend the request by itself.
	req.GetBody = nil
	resp, err := t.http.Do(req)
	if err != nil {
		return nil, nil, noResponse(ctx, r, connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return nil, resp.Header, t.decodeError(r, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, t.responseBytes+1))
	if err == nil && int64(len(data)) > t.responseBytes {
		err = fault.Newf(fault.TooLarge, "the response exceeds %d bytes", t.responseBytes)
	}
	if err != nil {
		return nil, resp.Header, noResponse(ctx, r, true, err)
	}
	return data, resp.Header, nil
}

func (s *timeoutError) Unwrap() error { return s.error }

func (t *Transport) url(r Request) string {
	u := t.base + r.Path
	if len(r.Query) > 0 {
		u += "?" + r.Query.Encode()
	}
	return u
}

// decode sends a request and decodes the JSON answer into v.
func (t *Transport) decode(ctx context.Context, r Request, v any) error {
	data, err := t.Do(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fault.New(fault.Malformed, "cannot decode the platform's response").WithCause(err)
	}
	return nil
}

func noResponse(ctx context.Context, r Request, sent bool, cause error) error {
	e := fault.Newf(fault.Unavailable, "no response from the platform to %s %s", r.Method, r.Path)
	if sent && r.Effect {
		e = e.WithOutcome(fault.Unknown)
	}
	if sent && context.Cause(ctx) == context.DeadlineExceeded {
		e.Detail += " within the timeout"
		cause = &timeoutError{cause}
	}
	return e.WithCause(cause)
}

func responseError(r Request, resp *http.Response) error {
	e := fault.ReadBody(resp.StatusCode, resp.Body)
	if !r.Effect {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}

func marshal(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.New(fault.Internal, "cannot encode the request to the platform").WithCause(err)
	}
	return b, nil
}

// Read implements Table.
func (c table) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.t.decode(ctx, Request{Method: http.MethodGet, Path: "/table/row", Query: url.Values{"Key": {key}}}, &row)
	return row, err
}

// List implements Table.
func (c table) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	q := url.Values{"Prefix": {prefix}, "After": {after}, "Limit": {strconv.Itoa(limit)}}
	err := c.t.decode(ctx, Request{Method: http.MethodGet, Path: "/table/rows", Query: q}, &rows)
	return rows, err
}

// Commit implements Table.
func (c table) Commit(ctx context.Context, x Txn) error {
	b, err := marshal(x)
	if err != nil {
		return err
	}
	_, err = c.t.Do(ctx, Request{Method: http.MethodPost, Path: "/table/commit", Body: b, Effect: true})
	return err
}

// Get implements Objects.
func (c objects) Get(ctx context.Context, name string) ([]byte, error) {
	return c.t.Do(ctx, Request{Method: http.MethodGet, Path: "/object", Query: url.Values{"Name": {name}}})
}

// Put implements Objects.
func (c objects) Put(ctx context.Context, name string, data []byte) error {
	q := url.Values{"Name": {name}}
	_, err := c.t.Do(ctx, Request{Method: http.MethodPut, Path: "/object", Query: q, Body: data, Effect: true})
	return err
}

// List implements Instances.
func (c instances) List(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.t.decode(ctx, Request{Method: http.MethodGet, Path: "/instances"}, &list)
	return list, err
}

// Reserve implements Weights.
func (c weights) Reserve(ctx context.Context, name string, size int64) error {
	b, err := marshal(struct {
		Name  string
		Bytes int64
	}{name, size})
	if err != nil {
		return err
	}
	_, err = c.t.Do(ctx, Request{Method: http.MethodPost, Path: "/weights/reserve", Body: b, Effect: true})
	return err
}
