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
	"shallotcourse/internal/timer"
)

// dialTimeout bounds the connection to one entry.
const dialTimeout = time.Second

type (
	// pool holds the entries and the connections to them.
	pool struct {
		entries []string
		key     string
		http    *http.Client
		// once makes a new connection for each request. On a reused one,
		// net/http repeats a lost GET by itself, and what a GET does at a
		// plain service is not known here.
		once  *http.Client
		clock timer.Service
		// next is the index of the entry to try first: the last that answered.
		next atomic.Int64
	}

	request struct {
		method, path string
		query        url.Values
		header       http.Header
		body         []byte
		// effect says that a lost answer leaves the outcome unknown.
		effect bool
		// change is the change identifier of an operator's write.
		change string
		// pinned says that the write can no longer take effect once a conflict
		// with its expected revision was seen.
		pinned bool
	}
)

func newPool(entries []string, key string) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &pool{
		key: key, clock: timer.System{},
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: 30 * time.Second}},
		once: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
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

// first returns the entry to try first.
func (p *pool) first() string { return p.entries[p.next.Load()] }

// leave makes the next entry the first, unless another request did so.
func (p *pool) leave(entry string) {
	i := int64(slices.Index(p.entries, entry))
	p.next.CompareAndSwap(i, (i+1)%int64(len(p.entries)))
}

// send returns the answer of one entry, whatever its status.
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
	client := p.http
	if r.effect {
		// A body that cannot be read again is not sent again.
		req.GetBody = nil
	}
	if r.effect && len(r.body) == 0 {
		client = p.once
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	resp, err := client.Do(req)
	if err != nil {
		return nil, unanswered(entry, r, connected.Load(), err)
	}
	return resp, nil
}

func unanswered(entry string, r request, sent bool, cause error) error {
	e := fault.Newf(fault.Unavailable, "no answer from entry %s", entry).WithCause(cause)
	if sent && r.effect {
		return e.WithOutcome(fault.Unknown)
	}
	return e
}
