// Package clnt is the Go client of the operators' interface.
package clnt

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/opapi"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

const (
	// writeTimeout bounds one write at one entry. It is above the 10 s that an
	// entry takes at most to settle a write.
	writeTimeout = 12 * time.Second
	// readTimeout bounds one read at one entry. It is above the 5 s that an
	// entry waits for the table.
	readTimeout = 6 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 16 << 20
	// rounds is the number of times that all entries are tried.
	rounds = 2
	// roundPause is the time between two rounds.
	roundPause = 500 * time.Millisecond
)

type (
	// Client talks to the operator interface of the entries. It is safe for
	// concurrent use.
	Client struct{ *pool }

	// Status is what one entry knows of itself and its linked peers.
	Status = opapi.Status
	// InstanceStatus is the configuration in force in one process.
	InstanceStatus = opapi.InstanceStatus
	// Event is one line of a watch.
	Event = opapi.Event
)

// New returns a client of the entries' operator interface, given as base URLs
// or host:port, with an operator key.
func New(entries []string, key string) *Client { return &Client{newPool(entries, key)} }

// Get returns one resource as it is in force at the entry that answers.
func (c *Client) Get(ctx context.Context, kind resrc.Kind, name string) (resrc.Resource, error) {
	var r resrc.Resource
	err := c.call(ctx, request{method: http.MethodGet, path: resourcePath(kind, name)}, &r)
	return r, err
}

// List returns the resources of a kind in order of their names.
func (c *Client) List(ctx context.Context, kind resrc.Kind) ([]resrc.Resource, error) {
	var list []resrc.Resource
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/resources/" + url.PathEscape(string(kind))}, &list)
	return list, err
}

// Put creates or replaces a resource; its Revision is the expected one. The
// change identifier may be empty; a repeated Put with the same identifier is
// accepted once.
func (c *Client) Put(ctx context.Context, r resrc.Resource, changeID string) (resrc.Change, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return resrc.Change{}, fault.New(fault.BadInput, "the resource does not encode").WithCause(err)
	}
	return c.write(ctx, request{
		method: http.MethodPut, path: resourcePath(r.Kind, r.Name), body: body,
		header: http.Header{"Content-Type": {"application/json"}}, change: changeID, pinned: r.Revision > 0,
	})
}

// Delete removes a resource at the expected revision.
func (c *Client) Delete(ctx context.Context, kind resrc.Kind, name string, revision uint64, changeID string) (resrc.Change, error) {
	q := url.Values{"Revision": {strconv.FormatUint(revision, 10)}}
	return c.write(ctx, request{
		method: http.MethodDelete, path: resourcePath(kind, name), query: q, change: changeID, pinned: revision > 0,
	})
}

// Audit returns up to limit changes after a revision.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) ([]resrc.Change, error) {
	return c.audit(ctx, url.Values{"After": {strconv.FormatUint(after, 10)}, "Limit": {strconv.Itoa(limit)}})
}

// AuditLast returns the last changes, up to limit.
func (c *Client) AuditLast(ctx context.Context, limit int) ([]resrc.Change, error) {
	return c.audit(ctx, url.Values{"Limit": {strconv.Itoa(limit)}})
}

// AuditChange returns the change that was accepted under an identifier, or
// fault.NotFound.
func (c *Client) AuditChange(ctx context.Context, changeID string) ([]resrc.Change, error) {
	return c.audit(ctx, url.Values{"Change": {changeID}})
}

func (c *Client) audit(ctx context.Context, q url.Values) ([]resrc.Change, error) {
	var changes []resrc.Change
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/audit", query: q}, &changes)
	return changes, err
}

// Status returns the status of one entry.
func (c *Client) Status(ctx context.Context, entry string) (Status, error) {
	var s Status
	data, err := c.attempt(ctx, entry, request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return s, err
	}
	return s, decode(data, &s)
}

func (c *Client) write(ctx context.Context, r request) (resrc.Change, error) {
	if r.change == "" {
		r.change = uuid.NewString()
	}
	if r.header == nil {
		r.header = http.Header{}
	}
	r.header.Set(opapi.ChangeHeader, r.change)
	r.effect = true
	var change resrc.Change
	err := c.call(ctx, r, &change)
	return change, err
}

// call tries the entries in turn until one gives a definite answer. A write
// whose answer was lost goes to the next entry under the same identifier.
func (c *Client) call(ctx context.Context, r request, v any) error {
	if len(c.entries) == 0 {
		return fault.Invalid("Entries", c.entries, "one address or more")
	}
	var last *fault.Error
	unknown := false
	for round := range rounds {
		if round > 0 && timer.Sleep(ctx, c.clock, roundPause) != nil {
			break
		}
		for range c.entries {
			entry := c.first()
			data, err := c.attempt(ctx, entry, r)
			if err == nil {
				return decode(data, v)
			}
			last = fault.As(err)
			unknown = unknown || last.Outcome == fault.Unknown
			if definite(last) {
				return settled(last, r, unknown)
			}
			c.leave(entry)
			if ctx.Err() != nil {
				return settled(last, r, unknown)
			}
		}
	}
	return settled(last, r, unknown)
}

// definite reports whether another entry would give the same answer.
func definite(e *fault.Error) bool {
	switch e.Code {
	case fault.BadInput, fault.Unauthorized, fault.NotFound, fault.Conflict, fault.KeyReused, fault.TooLarge, fault.Malformed:
		return true
	default:
		return false
	}
}

// settled gives the failure its outcome over all attempts. After a lost
// answer, the first attempt may still take effect, unless a conflict shows
// that the resource has left the expected revision, to which it never returns.
func settled(e *fault.Error, r request, unknown bool) error {
	if !unknown || r.change == "" || (r.pinned && e.Code == fault.Conflict) {
		return e
	}
	e = e.WithOutcome(fault.Unknown)
	e.Detail += "; an earlier attempt may have taken effect, look for change " + r.change + " in the audit"
	return e
}

// attempt sends the request to one entry.
func (c *Client) attempt(ctx context.Context, entry string, r request) ([]byte, error) {
	timeout := readTimeout
	if r.effect {
		timeout = writeTimeout
	}
	ctx, cancel := timer.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	resp, err := c.send(ctx, entry, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return nil, fault.ReadBody(resp.StatusCode, resp.Body)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, unanswered(entry, r, true, err)
	}
	return data, nil
}

func decode(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fault.New(fault.Malformed, "the entry's answer does not decode").WithOutcome(fault.Unknown).WithCause(err)
	}
	return nil
}

func resourcePath(kind resrc.Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
