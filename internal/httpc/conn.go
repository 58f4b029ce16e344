package httpc

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shallotcourse/internal/fault"
)

// conn is a client's connection. Its reads fail at broken heads, and tell the end of what
// the server sends from the loss of the connection: the kernel reports a loss once, to
// whichever of a read and a write comes first, and later reads see io.EOF.
type conn struct {
	net.Conn

	// head reads the response to the current request; it is never nil.
	head atomic.Pointer[headScanner]
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error of the first write that failed.
	failure error
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Watch returns a client's connection whose reads fail if the head of the response to the
// first request is broken, or if the connection is lost before the response ends.
func Watch(c net.Conn) net.Conn {
	watched := &conn{Conn: c}
	watched.expectHead()
	return watched
}

// expectHead prepares for the response to the next request.
func (c *conn) expectHead() { c.head.Store(&headScanner{}) }

// Read implements net.Conn. It returns io.EOF only if the server has ended its side.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if broken := c.head.Load().scan(b[:n]); broken != nil {
		return 0, broken
	}
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return n, err
}

// end returns io.EOF, or the reason why the connection was lost before its end. A write
// in progress may be about to return that reason; one that waits for the server is ended.
func (c *conn) end() error {
	// An error means that the connection is closed, which ends writes too.
	_ = c.SetWriteDeadline(expired)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure == nil || endsWritesOnly(c.failure) {
		return io.EOF
	}
	return fault.New(fault.Unavailable, "connection lost before the end of the response").WithOutcome(fault.Unknown).WithCause(c.failure)
}

// endsWritesOnly reports whether a write can fail with err although the server has ended
// its side in order. The kernel returns EPIPE in place of the reason for a loss once
// reads have reached the end.
func endsWritesOnly(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}
