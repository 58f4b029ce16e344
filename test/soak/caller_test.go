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
	// goodKey is an API key that is in every configuration.
	goodKey = "key-good"
	// callerTimeout is the deadline that callers set for a request.
	callerTimeout = 4 * time.Second
	// meanCallerPause is the mean pause of a caller between two requests.
	meanCallerPause = 60 * time.Millisecond
)

type (
	// caller sends one request after another over a connection to one gateway.
	// When that connection fails, it draws another gateway.
	caller struct {
		w      *world
		name   string
		random *rand.Rand
		// gateway is the index of the gateway in world.gateways.
		gateway int
		// sent counts the requests.
		sent   int
		client *http.Client
	}

	// onceCall is a request that must not run more than once, with the status
	// of its response; 0 if the response was lost.
	onceCall struct {
		id, gateway string
		status      int
	}

	// counts sums up the responses that all callers received.
	counts struct {
		mu                      sync.Mutex
		served, refused, broken int
		onceCalls               []onceCall
		// sendings is keyed by the ID of the request.
		sendings map[string]sending
	}

	// sending is a request that a caller has sent to a gateway.
	sending struct {
		gateway *gateway
		at      time.Time
		// leaving is the ID of the target that said in the answer that it leaves, and
		// leavingAt when the caller got the answer; empty if none did.
		leaving   string
		leavingAt time.Time
	}
)

func newCaller(w *world, n int, seed uint64) *caller {
	return &caller{
		w: w, name: fmt.Sprintf("c%d", n), random: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout + time.Second},
	}
}

// run sends requests until the soak ends.
func (c *caller) run() {
	c.gateway = c.random.IntN(len(c.w.gateways))
	for c.w.ctx.Err() == nil {
		if !c.call() {
			c.client.CloseIdleConnections()
			c.gateway = c.random.IntN(len(c.w.gateways))
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanCallerPause))))
	}
}

// call sends a request of a random kind and reports whether its connection can
// be used again.
func (c *caller) call() bool {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	switch c.random.IntN(4) {
	case 0:
		return c.callService(id, http.MethodGet, "/look/"+id, "", goodKey)
	case 1:
		return c.callService(id, http.MethodPost, "/register/"+id, "body of "+id, goodKey)
	case 2:
		key, revoked := c.w.randomKey(c.random)
		return c.callWithRevocableKey(id, key, revoked)
	}
	return c.streamModel(id, 5+c.random.IntN(60))
}

func (c *caller) send(id, method, path, body, key string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+c.w.gateways[c.gateway].listen+path, strings.NewReader(body))
	if err != nil {
		c.w.recordFailure("request %s: %v", id, err)
		return nil, err
	}
	req.Host = "site.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	sentAt := time.Now()
	resp, err := c.client.Do(req)
	sent := sending{gateway: c.w.gateways[c.gateway], at: sentAt}
	if err == nil && resp.Header.Get("Server-Leaving") != "" {
		sent.leaving, sent.leavingAt = strings.TrimPrefix(resp.Header.Get("Response-Seal"), "seal-"), time.Now()
	}
	c.w.counts.mu.Lock()
	defer c.w.counts.mu.Unlock()
	c.w.counts.sendings[id] = sent
	return resp, err
}

// countRefusal counts a response without success. All requests counted here use
// goodKey and an existing route, so a status that denies one of them is a
// failure.
func (c *caller) countRefusal(id string, status int) {
	c.w.counts.mu.Lock()
	defer c.w.counts.mu.Unlock()
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		c.w.recordFailure("valid request %s at %s got status %d", id, c.w.gateways[c.gateway].name, status)
	}
	c.w.counts.refused++
}

// callService calls the plain service, which echoes the request, and checks the
// response. It notes each POST for the check of its runs.
func (c *caller) callService(id, method, path, body, key string) bool {
	gateway := c.w.gateways[c.gateway].name
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
				c.w.recordFailure("request %s at %s got the wrong response: body %q, request ID %s", id, gateway, answer, resp.Header.Get("Request-Id"))
			}
			c.w.counts.add(1, 0)
		default:
			c.countRefusal(id, status)
		}
	}
	if method == http.MethodPost {
		c.w.counts.mu.Lock()
		c.w.counts.onceCalls = append(c.w.counts.onceCalls, onceCall{id, gateway, status})
		c.w.counts.mu.Unlock()
	}
	if err != nil {
		c.w.counts.add(0, 1)
	}
	return err == nil
}

func (c *counts) add(served, broken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served += served
	c.broken += broken
}

// callWithRevocableKey sends a request with a key that may have been revoked. A
// request that begins more than KeyLife after that must not be served.
func (c *caller) callWithRevocableKey(id, key string, revoked time.Time) bool {
	begun := time.Now()
	resp, err := c.send(id, http.MethodGet, "/look/"+id, "", key)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK && !revoked.IsZero() && begun.Sub(revoked) > keyLife {
		c.w.recordFailure("key %s is accepted at %s, %s after it was revoked", key, c.w.gateways[c.gateway].name, begun.Sub(revoked))
	}
	return true
}

// streamModel requests a stream from the model and checks its events. Some
// callers close the connection in the middle of the stream.
func (c *caller) streamModel(id string, events int) bool {
	resp, err := c.send(id, http.MethodGet, fmt.Sprintf("/draft/%s?events=%d", id, events), "", goodKey)
	if err != nil {
		c.w.counts.add(0, 1)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		c.countRefusal(id, resp.StatusCode)
		return true
	}
	if resp.Header.Get("Request-Id") != id || resp.Header.Get("Response-Seal") == "" {
		c.w.recordFailure("stream %s got wrong response headers, request ID %q", id, resp.Header.Get("Request-Id"))
	}
	disconnects := c.random.IntN(20) == 0
	last := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if text != fmt.Sprint(last+1) {
				c.w.recordFailure("stream %s has event %s after %d", id, text, last)
			}
			last++
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok && !coversAllLayers(text) {
			c.w.recordFailure("stream %s has an event of the layers %s, not of all in order", id, text)
		}
		if disconnects && last > events/2 {
			return false
		}
	}
	if lines.Err() != nil {
		c.w.counts.add(0, 1)
		return false
	}
	if last != events {
		c.w.recordFailure("stream %s at %s ended without an error after %d of %d events", id, c.w.gateways[c.gateway].name, last, events)
	}
	c.w.counts.add(1, 0)
	return true
}

// coversAllLayers reports whether a list such as "0-3,3-8" covers all layers of
// the model in order, without gap or overlap.
func coversAllLayers(ranges string) bool {
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
