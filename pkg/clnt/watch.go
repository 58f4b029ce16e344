package clnt

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// silenceTimeout ends a watch stream on which no line arrives. An entry
	// writes a line at least every 5 s, so two lines may be late.
	silenceTimeout = 12 * time.Second
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
)

// Watch calls f with each change after revision since, in order and without
// gaps, and with heartbeats. When a stream ends or stalls, it resumes after the
// last revision at the next entry. It returns the error of f, nil when the
// context ends, or the last failure when all entries fail again and again. A
// since of 0 starts with the first change ever made.
func (c *Client) Watch(ctx context.Context, since uint64, f func(Event) error) error {
	if len(c.entries) == 0 {
		return fault.Invalid("Entries", c.entries, "one address or more")
	}
	for failures := 0; ; {
		entry := c.currentEntry()
		reached, err := c.watchOnce(ctx, entry, since, f)
		if ctx.Err() != nil {
			return nil
		}
		if stop, ok := err.(callbackError); ok {
			return stop.error
		}
		if e := fault.As(err); isDefinite(e) {
			return e
		}
		failures++
		if reached > since {
			since, failures = reached, 0
		}
		if failures >= maxRounds*len(c.entries) {
			return err
		}
		c.skipEntry(entry)
		if timer.Sleep(ctx, c.clock, roundPause) != nil {
			return nil
		}
	}
}

// callbackError is an error that the function passed to Watch returned.
type callbackError struct{ error }

// watchOnce reads one watch stream to its end and returns the last revision
// that f has received.
func (c *Client) watchOnce(ctx context.Context, entry string, since uint64, f func(Event) error) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := c.clock.After(silenceTimeout, cancel)
	defer func() { watchdog() }()
	q := url.Values{"Since": {strconv.FormatUint(since, 10)}}
	resp, err := c.send(ctx, entry, request{method: http.MethodGet, path: "/v1/watch", query: q})
	if err != nil {
		return since, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return since, fault.ReadBody(resp.StatusCode, resp.Body)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		watchdog()
		watchdog = c.clock.After(silenceTimeout, cancel)
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return since, fault.New(fault.Unavailable, "cannot decode a line of the watch").WithCause(err)
		}
		if e.Change != nil && e.Revision != since+1 {
			return since, fault.Newf(fault.Unavailable, "the watch is out of order: revision %d is followed by %d", since, e.Revision)
		}
		if err := f(e); err != nil {
			return since, callbackError{err}
		}
		since = max(since, e.Revision)
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.EOF
	}
	return since, fault.Newf(fault.Unavailable, "the watch of entry %s ended", entry).WithCause(cause)
}
