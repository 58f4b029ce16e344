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
	// silenceTimeout ends a watch stream without a line. An entry writes one
	// at least every 5 s, so two lines may be late.
	silenceTimeout = 12 * time.Second
	// maxLineBytes bounds one line of a watch.
	maxLineBytes = 1 << 20
)

// Watch calls f with each change after a revision, in order and without gaps,
// and with heartbeats, until f fails or the context ends. When a stream ends
// or falls silent, it resumes from the last revision at the next entry. Since
// 0 starts with the first change that was ever made.
func (c *Client) Watch(ctx context.Context, since uint64, f func(Event) error) error {
	if len(c.entries) == 0 {
		return fault.Invalid("Entries", c.entries, "one address or more")
	}
	for failures := 0; ; {
		entry := c.first()
		at, err := c.stream(ctx, entry, since, f)
		if ctx.Err() != nil {
			return nil
		}
		if stop, ok := err.(stopped); ok {
			return stop.error
		}
		if e := fault.As(err); definite(e) {
			return e
		}
		failures++
		if at > since {
			since, failures = at, 0
		}
		if failures >= rounds*len(c.entries) {
			return err
		}
		c.leave(entry)
		if timer.Sleep(ctx, c.clock, roundPause) != nil {
			return nil
		}
	}
}

// stopped marks a failure of the caller's function.
type stopped struct{ error }

// stream reads one stream and returns the revision that it reached.
func (c *Client) stream(ctx context.Context, entry string, since uint64, f func(Event) error) (uint64, error) {
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
			return since, fault.New(fault.Unavailable, "a line of the watch does not decode").WithCause(err)
		}
		if e.Change != nil && e.Revision != since+1 {
			return since, fault.Newf(fault.Unavailable, "the watch went from revision %d to %d", since, e.Revision)
		}
		if err := f(e); err != nil {
			return since, stopped{err}
		}
		since = max(since, e.Revision)
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.EOF
	}
	return since, fault.Newf(fault.Unavailable, "the watch of entry %s ended", entry).WithCause(cause)
}
