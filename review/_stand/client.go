package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

type (
	// client sends requests over a channel that it keeps.
	client struct {
		world *world
		key   string
		// gateway is the one that the platform has connected the client to.
		gateway *gateway
		conn    net.Conn
		reader  *bufio.Reader
		// served counts the answers on the channel.
		served int
	}

	// ask is a request to be sent.
	ask struct {
		method, route string
		// host is site.example if it is empty.
		host    string
		body    string
		timeout time.Duration
		// maxGap is the longest gap after which the client leaves a stream.
		maxGap time.Duration
	}

	// answer is what a client has seen of one attempt.
	answer struct {
		id, gateway string
		// kept is true if the channel had answered a request before.
		kept bool
		// sent is true once the whole request is written.
		sent   bool
		at     time.Time
		status int
		header http.Header
		// complete is true if the answer is complete in the protocol, and right if it
		// is also the engine's whole answer.
		complete, right bool
		bytes           int
		// left is true if the client has left before the end.
		left bool
		err  error
	}
)

// connect opens a channel to a gateway in rotation.
func (c *client) connect() error {
	var ready []*gateway
	for _, g := range c.world.gateways {
		if g.inRotation() {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = c.world.gateways
	}
	c.gateway = ready[rand.IntN(len(ready))]
	conn, err := net.DialTimeout("tcp", c.gateway.ip+":8227", time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends one attempt and reads its answer.
func (c *client) do(a ask) answer {
	out := answer{id: fmt.Sprintf("%016x", rand.Uint64()), at: time.Now()}
	if c.conn == nil {
		if err := c.connect(); err != nil {
			out.err = err
			return out
		}
	}
	out.gateway, out.kept = c.gateway.name, c.served > 0
	var head strings.Builder
	fmt.Fprintf(&head, "%s /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
		a.method, a.route, cmp.Or(a.host, "site.example"), out.id, a.timeout.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", c.key)
	}
	if a.route == "draft" {
		fmt.Fprintf(&head, "Model-Name: m0\r\nToken-Usage: 800,200\r\nPrompt-Prefix: 5c1e07a2:40,%s:760\r\n", out.id)
	}
	if a.body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	head.WriteString("\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(a.timeout))
	if _, err := io.WriteString(c.conn, head.String()+a.body); err != nil {
		out.err = err
		c.drop()
		return out
	}
	out.sent = true
	c.read(a, &out)
	if !out.complete || strings.EqualFold(out.header.Get("Connection"), "close") {
		c.drop()
	} else {
		c.served++
	}
	return out
}

// read reads the answer to a request.
func (c *client) read(a ask, out *answer) {
	wait := func() {
		if a.maxGap > 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(a.maxGap))
		}
	}
	wait()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		out.err, out.left = err, isTimeout(err)
		return
	}
	out.status, out.header = resp.StatusCode, resp.Header
	if resp.Close {
		out.header.Set("Connection", "close")
	}
	var body []byte
	buffer := make([]byte, 32<<10)
	for {
		wait()
		n, err := resp.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil {
			out.err, out.left, out.bytes = err, isTimeout(err), len(body)
			return
		}
	}
	out.complete, out.bytes = true, len(body)
	if out.status != http.StatusOK {
		return
	}
	want := answerOf(out.id)
	if a.route == "draft" {
		want = ""
		for n := 1; n <= eventsOf(out.id); n++ {
			want += eventOf(out.id, n)
		}
	}
	out.right = string(body) == want && resp.Header.Get("Response-Seal") == "seal-"+out.id
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// note records an answer.
func (c *client) note(a ask, o answer) {
	c.world.note("client: %s %s to %s, kept %v: status %d, complete %v, right %v, %d bytes, left %v, after %s, err %v", a.route, o.id, o.gateway, o.kept,
		o.status, o.complete, o.right, o.bytes, o.left, time.Since(o.at).Round(time.Millisecond), o.err)
}
