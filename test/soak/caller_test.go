package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	goodKey = "key-good"
	// callerBudget is how long callers wait for an answer.
	callerBudget = 4 * time.Second
	callerPause  = 60 * time.Millisecond
)

type (
	// caller sends one request after another, on a kept connection to one
	// gateway until that connection fails.
	caller struct {
		w      *world
		name   string
		random *rand.Rand
		at     int
		sent   int
		client *http.Client
	}

	// sent is a non-repeatable request and what its caller was told.
	sent struct {
		id, gateway string
		status      int
	}

	// tally is what all callers have seen.
	tally struct {
		mu                     sync.Mutex
		served, refused, broke int
		once                   []sent
	}
)

func newCaller(w *world, n int, seed uint64) *caller {
	return &caller{
		w: w, name: fmt.Sprintf("c%d", n), random: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerBudget + time.Second},
	}
}

// run calls until the soak ends.
func (c *caller) run() {
	c.at = c.random.IntN(len(c.w.gateways))
	for c.w.ctx.Err() == nil {
		if !c.call() {
			c.client.CloseIdleConnections()
			c.at = c.random.IntN(len(c.w.gateways))
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * callerPause))))
	}
}

// call sends a request of some kind and reports whether the connection is good.
func (c *caller) call() bool {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	switch c.random.IntN(4) {
	case 0:
		return c.plain(id, http.MethodGet, "/look/"+id, "", goodKey)
	case 1:
		return c.plain(id, http.MethodPost, "/register/"+id, "body of "+id, goodKey)
	case 2:
		key, revoked := c.w.someKey(c.random)
		return c.revocable(id, key, revoked)
	}
	return c.stream(id, 5+c.random.IntN(60))
}

func (c *caller) send(id, method, path, body, key string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+c.w.gateways[c.at].listen+path, strings.NewReader(body))
	if err != nil {
		c.w.fail("request %s: %v", id, err)
		return nil, err
	}
	req.Host = "site.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerBudget.Milliseconds()))
	return c.client.Do(req)
}

// count notes an answer that is no success. With a good key and a known route,
// no gateway may say that either is not there.
func (c *caller) count(id string, status int) {
	c.w.tally.mu.Lock()
	defer c.w.tally.mu.Unlock()
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		c.w.fail("request %s at %s got status %d", id, c.w.gateways[c.at].name, status)
	}
	c.w.tally.refused++
}

func (c *caller) plain(id, method, path, body, key string) bool {
	gateway := c.w.gateways[c.at].name
	resp, err := c.send(id, method, path, body, key)
	status := 0
	if err == nil {
		status = resp.StatusCode
		var answer []byte
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		switch {
		case err != nil:
			status = 0
		case status == http.StatusOK:
			want := method + " " + path + " " + body
			if string(answer) != want || resp.Header.Get("Request-Id") != id || resp.Header.Get("Response-Seal") == "" {
				c.w.fail("request %s at %s got %q for %s", id, gateway, answer, resp.Header.Get("Request-Id"))
			}
			c.w.tally.add(1, 0)
		default:
			c.count(id, status)
		}
	}
	if method == http.MethodPost {
		c.w.tally.mu.Lock()
		c.w.tally.once = append(c.w.tally.once, sent{id, gateway, status})
		c.w.tally.mu.Unlock()
	}
	if err != nil {
		c.w.tally.add(0, 1)
	}
	return err == nil
}

func (t *tally) add(served, broke int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served += served
	t.broke += broke
}

// revocable uses a key that may have been taken away. It must not work when
// that is longer ago than keys live without proof.
func (c *caller) revocable(id, key string, revoked time.Time) bool {
	begun := time.Now()
	resp, err := c.send(id, http.MethodGet, "/look/"+id, "", key)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK && !revoked.IsZero() && begun.Sub(revoked) > keyLife {
		c.w.fail("key %s works at %s, %s after it was taken away", key, c.w.gateways[c.at].name, begun.Sub(revoked))
	}
	return true
}

func (c *caller) stream(id string, events int) bool {
	resp, err := c.send(id, http.MethodGet, fmt.Sprintf("/draft/%s?events=%d", id, events), "", goodKey)
	if err != nil {
		c.w.tally.add(0, 1)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		c.count(id, resp.StatusCode)
		return true
	}
	if resp.Header.Get("Request-Id") != id || resp.Header.Get("Response-Seal") == "" {
		c.w.fail("stream %s got the head of %q", id, resp.Header.Get("Request-Id"))
	}
	leaves := c.random.IntN(20) == 0
	last := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if text != fmt.Sprint(last+1) {
				c.w.fail("stream %s has event %s after %d", id, text, last)
			}
			last++
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok && !whole(text) {
			c.w.fail("stream %s has an event of the layers %s", id, text)
		}
		if leaves && last > events/2 {
			return false
		}
	}
	if lines.Err() != nil {
		c.w.tally.add(0, 1)
		return false
	}
	if last != events {
		c.w.fail("stream %s at %s looks complete with %d of %d events", id, c.w.gateways[c.at].name, last, events)
	}
	c.w.tally.add(1, 0)
	return true
}

// whole reports whether ranges of layers, in order, are those of the model.
func whole(ranges string) bool {
	next := 0
	for _, part := range strings.Split(ranges, ",") {
		var from, to int
		if n, err := fmt.Sscanf(part, "%d-%d", &from, &to); err != nil || n != 2 || from != next || to <= from {
			return false
		}
		next = to
	}
	return next == layers
}
