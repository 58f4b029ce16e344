// Package clnt is the Go client of an installation: Client for the operators'
// interface of the entries, Caller for their callers' interface.
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
	// writeTimeout bounds one write at one entry. An entry takes up to 10 s to
	// find out whether a write was accepted.
	writeTimeout = 12 * time.Second
	// readTimeout bounds one read at one entry. An entry waits up to 5 s for the
	// table in which the configuration is stored.
	readTimeout = 6 * time.Second
	// maxAnswerBytes bounds the body of one response.
	maxAnswerBytes = 16 << 20
	// maxRounds is the number of times that each entry is tried in turn.
	maxRounds = 2
	// roundPause is the pause between two rounds.
	roundPause = 500 * time.Millisecond
)

type (
	// Client is a client of the operators' interface of the entries. It is safe
	// for concurrent use.
	Client struct{ *pool }

	// Status is the status of one entry and of the instances linked to it.
	Status = opapi.Status
	// InstanceStatus says which configuration revision is in force in one
	// process.
	InstanceStatus = opapi.InstanceStatus
	// Event is one line of a watch stream: a change or a heartbeat.
	Event = opapi.Event
)

// New returns a client of the operators' interface. The entries are base URLs
// or host:port; key is an operator key.
func New(entries []string, key string) *Client { return &Client{newPool(entries, key)} }

// Get returns a resource in the revision in force at the entry that answers.
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

// Put creates or replaces a resource, whose Revision must be that of the stored
// one, 0 if there is none. A Put that is repeated with the same change
// identifier is accepted once; an empty identifier stands for a new one.
func (c *Client) Put(ctx context.Context, r resrc.Resource, changeID string) (resrc.Change, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return resrc.Change{}, fault.New(fault.BadInput, "cannot encode the resource").WithCause(err)
	}
	return c.write(ctx, request{
		method: http.MethodPut, path: resourcePath(r.Kind, r.Name), body: body,
		header: http.Header{"Content-Type": {"application/json"}}, changeID: changeID, conditional: r.Revision > 0,
	})
}

// Delete removes a resource at the expected revision.
func (c *Client) Delete(ctx context.Context, kind resrc.Kind, name string, revision uint64, changeID string) (resrc.Change, error) {
	q := url.Values{"Revision": {strconv.FormatUint(revision, 10)}}
	return c.write(ctx, request{
		method: http.MethodDelete, path: resourcePath(kind, name), query: q, changeID: changeID, conditional: revision > 0,
	})
}

// Audit returns up to limit changes that follow a revision.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) ([]resrc.Change, error) {
	return c.audit(ctx, url.Values{"After": {strconv.FormatUint(after, 10)}, "Limit": {strconv.Itoa(limit)}})
}

// AuditLast returns the last changes, up to limit.
func (c *Client) AuditLast(ctx context.Context, limit int) ([]resrc.Change, error) {
	return c.audit(ctx, url.Values{"Limit": {strconv.Itoa(limit)}})
}

// AuditChange returns the change that was accepted under an identifier, or
// fails with fault.NotFound.
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

// write sends a write under its change identifier, or under a new one.
func (c *Client) write(ctx context.Context, r request) (resrc.Change, error) {
	if r.changeID == "" {
		r.changeID = uuid.NewString()
	}
	if r.header == nil {
		r.header = http.Header{}
	}
	r.header.Set(opapi.ChangeHeader, r.changeID)
	r.mutates = true
	var change resrc.Change
	err := c.call(ctx, r, &change)
	return change, err
}

// call tries the entries in turn until one gives a definite answer. A write
// whose answer was lost is retried at the next entry under the same change
// identifier.
func (c *Client) call(ctx context.Context, r request, v any) error {
	if len(c.entries) == 0 {
		return fault.Invalid("Entries", c.entries, "one address or more")
	}
	var last *fault.Error
	unknown := false
	for round := range maxRounds {
		if round > 0 && timer.Sleep(ctx, c.clock, roundPause) != nil {
			break
		}
		for range c.entries {
			entry := c.currentEntry()
			data, err := c.attempt(ctx, entry, r)
			if err == nil {
				return decode(data, v)
			}
			last = fault.As(err)
			unknown = unknown || last.Outcome == fault.Unknown
			if isDefinite(last) {
				return withFinalOutcome(last, r, unknown)
			}
			c.skipEntry(entry)
			if ctx.Err() != nil {
				return withFinalOutcome(last, r, unknown)
			}
		}
	}
	return withFinalOutcome(last, r, unknown)
}

// isDefinite reports whether other entries would give the same answer, so that
// trying them is useless.
func isDefinite(e *fault.Error) bool {
	switch e.Code {
	case fault.BadInput, fault.Unauthorized, fault.NotFound, fault.Conflict, fault.KeyReused, fault.TooLarge, fault.Malformed:
		return true
	default:
		return false
	}
}

// withFinalOutcome returns the last failure with the outcome of all attempts
// together. After a lost answer an earlier attempt may still take effect, unless
// a conflict shows that the resource is no longer at the expected revision, to
// which it never returns.
func withFinalOutcome(e *fault.Error, r request, unknown bool) error {
	if !unknown || r.changeID == "" || (r.conditional && e.Code == fault.Conflict) {
		return e
	}
	e = e.WithOutcome(fault.Unknown)
	e.Detail += "; an earlier attempt may have taken effect, look for change " + r.changeID + " in the audit"
	return e
}

// attempt sends the request to one entry and returns the body of its response.
func (c *Client) attempt(ctx context.Context, entry string, r request) ([]byte, error) {
	timeout := readTimeout
	if r.mutates {
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
		return nil, noAnswer(entry, r, true, err)
	}
	return data, nil
}

func decode(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fault.New(fault.Malformed, "cannot decode the answer of the entry").WithOutcome(fault.Unknown).WithCause(err)
	}
	return nil
}

func resourcePath(kind resrc.Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
