package clnt

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
	"shallotcourse/internal/timer"
)

const (
	// dialTimeout bounds the time to connect to one entry.
	dialTimeout = time.Second
	// maxHeadBytes bounds the head of an entry's answer.
	maxHeadBytes = 256 << 10
)

type (
	// pool holds the addresses of the entries and the connections to them.
	pool struct {
		entries []string
		key     string
		client  *http.Client
		// noReuseClient opens a new connection for each request. On a reused
		// connection, net/http retries a lost GET by itself, but a GET to a plain
		// service may have side effects.
		noReuseClient *http.Client
		clock         timer.Service
		// current is the index of the entry to try first; skipEntry moves it on.
		current atomic.Int64
	}

	// request is an HTTP request to be sent to any of the entries.
	request struct {
		method, path string
		query        url.Values
		header       http.Header
		body         []byte
		// mutates says that the request may have side effects, so that its
		// outcome is unknown if the answer is lost.
		mutates bool
		// changeID is the change identifier of an operator's write.
		changeID string
		// conditional says that the write names an expected revision and can no
		// longer take effect after a conflict with it.
		conditional bool
	}
)

func newPool(entries []string, key string) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &pool{
		key: key, clock: timer.System{},
		client: &http.Client{Transport: httpc.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes,
		})},
		noReuseClient: &http.Client{Transport: httpc.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
		})},
	}
	for _, e := range entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		p.entries = append(p.entries, strings.TrimRight(e, "/"))
	}
	return p
}

// Entries returns the base URLs of the entries.
func (p *pool) Entries() []string { return p.entries }

// currentEntry returns the entry to try first.
func (p *pool) currentEntry() string { return p.entries[p.current.Load()] }

// skipEntry makes the entry after the given one the current one, unless another
// request has changed it meanwhile.
func (p *pool) skipEntry(entry string) {
	i := int64(slices.Index(p.entries, entry))
	p.current.CompareAndSwap(i, (i+1)%int64(len(p.entries)))
}

// send returns the response of one entry, whatever its status.
func (p *pool) send(ctx context.Context, entry string, r request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := entry + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, fault.Invalid("Entry", entry, "host:port or a URL").WithCause(err)
	}
	client := p.client
	if r.mutates {
		// Without GetBody, net/http cannot resend the body by itself.
		req.GetBody = nil
	}
	if r.mutates && len(r.body) == 0 {
		client = p.noReuseClient
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	resp, err := client.Do(req)
	if err != nil {
		return nil, noAnswer(entry, r, connected.Load(), err)
	}
	return resp, nil
}

// noAnswer returns the failure of a request without an answer. sent says that
// a connection was made, so that the entry may have received the request.
func noAnswer(entry string, r request, sent bool, cause error) error {
	e := fault.Newf(fault.Unavailable, "no answer from entry %s", entry).WithCause(cause)
	if sent && r.mutates {
		return e.WithOutcome(fault.Unknown)
	}
	return e
}
