package cmds

import (
	"context"
	"io"
	"net/http"
	"time"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
)

const (
	// connBytes is the claim of an open connection, for its buffers and goroutine.
	connBytes = 32 << 10
	// headLineBytes is claimed for each line of a head in addition to its bytes.
	// Parsed, short fields take many times their bytes.
	headLineBytes = 128
	// noRoomRetryAfter is the time after which refused callers may return. Claims
	// without progress have given way by then.
	noRoomRetryAfter = time.Second
	// noRoomWriteTimeout bounds the time to write a refusal before the request has
	// been read.
	noRoomWriteTimeout = 500 * time.Millisecond
	// noRoomResponse is that refusal. The request has not run.
	noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n" +
		fault.Header + ": " + string(fault.NotRun) + "\r\nConnection: close\r\nContent-Length: 27\r\n\r\nno memory for the request\r\n"
)

// headScan finds the end of a request's head.
type headScan struct {
	// begun is true after the first byte that is not part of an empty line, and
	// inLine while the current line is not empty.
	begun, inLine bool
	// ended is true after the empty line that ends the head.
	ended bool
}

// cost returns the claim for the part of b that belongs to the head.
func (h *headScan) cost(b []byte) int64 {
	n := int64(0)
	for _, x := range b {
		if h.ended {
			break
		}
		n++
		switch x {
		case '\n':
			n += headLineBytes
			h.ended = h.begun && !h.inLine
			h.inLine = false
		case '\r':
		default:
			h.begun, h.inLine = true, true
		}
	}
	return n
}

// headCost returns the claim for a parsed head, without spaces around values. It
// exceeds that of the bytes by a line at most, if there is no Host.
func headCost(r *http.Request) int64 {
	line := func(n int) int64 { return int64(n) + headLineBytes }
	n := line(len(r.Method)+len(r.RequestURI)+len(r.Proto)+len("  \r\n")) + line(len("Host:\r\n")+len(r.Host)) + line(len("\r\n"))
	for name, values := range r.Header {
		for _, v := range values {
			n += line(len(name) + len(v) + len(":\r\n"))
		}
	}
	return n
}

// claimHead claims memory for bytes that were read while no handler runs. At the
// first read it claims that of the connection.
func (c *callerConn) claimHead(b []byte) error {
	if !c.claimed {
		if err := c.claim.Grow(context.Background(), connBytes); err != nil {
			return err
		}
		c.claimed = true
	}
	if len(b) == 0 {
		return nil
	}
	return c.growHead(c.head.cost(b))
}

func (c *callerConn) growHead(n int64) error {
	if n <= 0 {
		return nil
	}
	if err := c.claim.Grow(context.Background(), n); err != nil {
		return err
	}
	c.headBytes += n
	return nil
}

// settleHead claims what a head takes that was read together with the request
// before it.
func (c *callerConn) settleHead(r *http.Request) error { return c.growHead(headCost(r) - c.headBytes) }

// releaseHead gives back the claim of a request's head.
func (c *callerConn) releaseHead() {
	c.claim.Shrink(c.headBytes)
	c.headBytes, c.head = 0, headScan{}
	c.claim.SetPhase(budget.Idle)
}

// refuseHead answers a request for whose head there is no room. It returns the
// error with which the server ends the connection without a response of its own.
func (c *callerConn) refuseHead() error {
	c.refused = true
	c.set.crowd.noteMemory()
	_ = c.SetWriteDeadline(c.set.clock.Now().Add(noRoomWriteTimeout))
	// A write error means that the caller has disconnected, or was evicted.
	_, _ = io.WriteString(c, noRoomResponse)
	return io.EOF
}

// refuseRequest answers a request for whose head there is no room.
func refuseRequest(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	e := *fault.As(err)
	if e.RetryAfter == 0 {
		e.RetryAfter = noRoomRetryAfter
	}
	fault.WriteBody(w, &e)
}
