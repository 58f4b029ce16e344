//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// callerKey is the API key of the ordinary callers, crowdKey that of every other
	// member of a crowd. They belong to different accounts.
	callerKey = "key-caller"
	crowdKey  = "key-crowd"
	// maxTries bounds the tries of an ordinary caller for one answer.
	maxTries = 6
	// tryTimeout is the time after which an ordinary caller takes a try for lost. It
	// only tells a process that hangs from one that answers.
	tryTimeout = 2 * time.Second
	// retryPause is the time between two tries. The short wait of a refused request
	// for memory, and that of a closed connection, end meanwhile.
	retryPause = 300 * time.Millisecond
	// callPause is the time between two requests of an ordinary caller.
	callPause = 50 * time.Millisecond
)

var lastRequest atomic.Int64

type (
	// ask is a request of an ordinary caller. It may be repeated.
	ask struct {
		name, method, url, body string
		// want is a part of the answer that is there only once it is complete.
		want string
	}

	// caller is an ordinary caller. It keeps its connection between requests.
	caller struct{ client http.Client }
)

func newCaller() *caller {
	return &caller{http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// get sends the request until it is answered, at most maxTries times. A caller that
// is refused with 503, or whose connection is closed, tries again.
func (c *caller) get(a ask) error {
	var err error
	for try := range maxTries {
		if try > 0 {
			time.Sleep(retryPause)
		}
		var again bool
		if again, err = c.try(a); err == nil || !again {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", a.name, err)
	}
	return nil
}

// try sends the request once. It reports whether a failed one may be repeated.
func (c *caller) try(a ask) (again bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, a.url, strings.NewReader(a.body))
	if err != nil {
		return false, err
	}
	req.Host = "site.example"
	req.Header.Set("Request-Id", fmt.Sprintf("ask-%d", lastRequest.Add(1)))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(tryTimeout.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return true, fmt.Errorf("status 503: %.200s", answer)
	case resp.StatusCode/100 != 2:
		return false, fmt.Errorf("status %d: %.200s", resp.StatusCode, answer)
	case err == nil && !strings.Contains(string(answer), a.want):
		return false, fmt.Errorf("the answer lacks %q: %.200s", a.want, answer)
	}
	return true, err
}

// hangUp closes the connection that is kept.
func (c *caller) hangUp() { c.client.CloseIdleConnections() }

// answered sends the request as get does, with a connection of its own.
func (a ask) answered() error {
	c := newCaller()
	defer c.hangUp()
	return c.get(a)
}

// repeat sends the request again and again until end is closed, or it is not
// answered.
func (c *caller) repeat(a ask, end <-chan struct{}) error {
	defer c.hangUp()
	for {
		if err := c.get(a); err != nil {
			return err
		}
		select {
		case <-end:
			return nil
		case <-time.After(callPause):
		}
	}
}

// largestBody returns the largest legal body.
func largestBody(s *system) string { return strings.Repeat("x", s.bodyBytes) }
