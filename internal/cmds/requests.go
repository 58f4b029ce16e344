package cmds

import (
	"io"
	"net/http"
	"time"

	"shallotcourse/internal/budget"
)

// abandonedBodyTime bounds the time in which the server reads and drops the rest
// of a body that a handler has not read. By itself the server reads up to 256 kB
// before it sends the response, without a deadline.
const abandonedBodyTime = 500 * time.Millisecond

// requestBody notes when a request's body has been read to its end.
type requestBody struct {
	io.ReadCloser
	conn *callerConn
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.noteWhole()
	}
	return n, err
}

// connOf returns the connection of a request; nil if it is not that of a connSet.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// trackRequests marks the connections of requests as in use, bounds the reading
// of bodies that handlers leave, and asks callers to close their connections
// while the daemon stops.
func (d *daemon) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(hasBody(r)) {
			panic(http.ErrAbortHandler)
		}
		// The server reads the rest of a body also after a panic.
		defer c.endHandler()
		if err := c.settleHead(r); err != nil {
			refuseRequest(w, err)
			return
		}
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, c.trackBody(w, r))
	})
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 && r.Body != http.NoBody }

// trackBody returns the request for the handler. The server needs the original one
// unchanged, since it inspects the type of the body.
func (c *callerConn) trackBody(w http.ResponseWriter, r *http.Request) *http.Request {
	if !hasBody(r) {
		return r
	}
	out := r.WithContext(r.Context())
	out.Body = &requestBody{ReadCloser: r.Body, conn: c}
	if c.set.limits.DropBodies {
		out.Body, out.ContentLength = http.NoBody, 0
		w.Header().Set("Connection", "close")
		_ = c.SetReadDeadline(c.set.clock.Now())
	}
	return out
}

// beginRequest marks the connection as in use by a handler. It returns false if
// the connection has been evicted. A request that was read together with the one
// before it has not left the idle phase by a read of its own.
func (c *callerConn) beginRequest(body bool) bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.handling = true
	switch {
	case !body:
		c.set.enter(c, busy)
	case c.phase == idle:
		c.set.enter(c, receiving)
	}
	return true
}

// noteWhole marks the request as read to its end.
func (c *callerConn) noteWhole() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.phase == receiving && c.handling {
		c.set.enter(c, busy)
	}
}

// endHandler bounds the reading of a body whose end the handler has not read.
func (c *callerConn) endHandler() {
	c.claim.SetPhase(budget.Sending)
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.phase == receiving && !c.set.limits.DropBodies {
		_ = c.SetReadDeadline(c.set.clock.Now().Add(abandonedBodyTime))
	}
}

// endRequest marks the connection as idle.
func (c *callerConn) endRequest() {
	c.releaseHead()
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.handling, c.reused = false, true
	c.set.enter(c, idle)
}
