package cmds

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"shallotcourse/internal/budget"
)

const (
	// lingerTimeout and lingerBytes bound what is read and dropped from a caller
	// that still sends when its connection is closed.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
	// lingerClaimBytes is the claim of a connection that drops what arrives, for its
	// goroutine and its part of the buffers.
	lingerClaimBytes = 12 << 10
	// writeStallTimeout is the time after which a write fails of which the caller
	// accepts no byte, unless the handler has set a deadline. A write that was
	// accepted in part is repeated, so a caller that stops reading is cut after at
	// most twice this time.
	writeStallTimeout = 15 * time.Second
	// writePieceBytes is the most that is written at once, so that progress is seen
	// during long writes.
	writePieceBytes = 64 << 10
)

const (
	// idle connections have read no byte of the next request.
	idle connPhase = iota
	// receiving connections have read a part of a request.
	receiving
	// busy connections have read a whole request and not written its response.
	busy
	// hijacked connections no longer belong to the server.
	hijacked
	// lingering connections drop what their callers still send.
	lingering
	// closed connections have no descriptor. They change to no other phase.
	closed
)

type (
	connPhase int

	// callerConn is a connection of a connSet.
	callerConn struct {
		*net.TCPConn
		set *connSet
		// claim is nil on listeners without a budget.
		claim *budget.Claim

		// These fields are used by the server's goroutine while no handler runs.
		// claimed is true once the claim of the connection is granted, and headBytes
		// is what is claimed for the head that is read or handled now.
		claimed   bool
		headBytes int64
		head      headScan
		// refused is true once there was no room for a head. The server reads again
		// after an error in the middle of a line.
		refused bool

		// These fields are guarded by set.mu.
		phase connPhase
		// place is the element of set.evictable; nil in other phases.
		place *list.Element
		// handling is true from the start of a request's handler until the
		// connection is idle again. Only the request's body is read meanwhile.
		handling bool
		// reused is true once a request has ended.
		reused bool
		// ending is true while the read of an idle connection is interrupted.
		ending  bool
		closing bool

		// deadlineSet is true while a write deadline of the server or of a handler is
		// in force, and responding from the first write of a response on.
		deadlineSet, responding atomic.Bool
	}
)

func (p connPhase) evictable() bool { return p == idle || p == receiving || p == lingering }

// endIfIdle interrupts the read of an idle connection. The interrupted Read
// decides whether a request has arrived meanwhile. The server may have changed
// the deadline since the last call, so it is set again.
func (c *callerConn) endIfIdle() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.phase == idle {
		c.ending = true
		_ = c.SetReadDeadline(c.set.clock.Now())
	}
}

// Read implements net.Conn. What is read before a handler runs is claimed as part
// of a head.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.refused {
		return 0, io.EOF
	}
	if !c.claimed && c.claimHead(nil) != nil {
		return 0, c.refuseHead()
	}
	for {
		n, err := c.TCPConn.Read(b)
		again, head := c.noteRead(n, err)
		if again {
			continue
		}
		if n > 0 {
			c.claim.Progress()
		}
		if head && c.claimHead(b[:n]) != nil {
			return 0, c.refuseHead()
		}
		return n, err
	}
}

// noteRead records the result of a read. It reports whether the read is to be
// repeated, because it was interrupted although data had arrived, and whether it
// has read a part of a head.
func (c *callerConn) noteRead(n int, err error) (again, head bool) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	again = c.ending && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.unread() > 0
	// The server awaits the first bytes of a further request with the deadline of
	// idle connections.
	first := n > 0 && c.phase == idle && c.reused
	if c.phase == idle && (n > 0 || again) {
		c.claim.SetPhase(budget.Receiving)
		c.set.enter(c, receiving)
	}
	if first || c.ending && (n > 0 || again) {
		c.ending = false
		_ = c.SetReadDeadline(c.set.clock.Now().Add(c.set.limits.Head))
	}
	return again, n > 0 && !c.handling && c.phase != hijacked
}

// unread returns the number of bytes that have arrived and are not read.
func (c *callerConn) unread() int { return c.queued(unix.TIOCINQ) }

// unsent returns the number of bytes that were written and that the caller has not
// confirmed.
func (c *callerConn) unsent() int { return c.queued(unix.TIOCOUTQ) }

// queued returns the size of a queue of the socket; 0 if it is closed.
func (c *callerConn) queued(request uint) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), request) })
	return n
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	c.noteWriteDeadline(t)
	return c.TCPConn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.noteWriteDeadline(t)
	return c.TCPConn.SetWriteDeadline(t)
}

func (c *callerConn) noteWriteDeadline(t time.Time) {
	c.deadlineSet.Store(!t.IsZero())
	// The server removes the deadline after each response.
	c.responding.Store(false)
}

// Write implements net.Conn. Without a deadline of the server or of a handler, it
// fails once the caller has accepted no byte for writeStallTimeout, or at the end
// of the listener's time for a response.
func (c *callerConn) Write(b []byte) (int, error) {
	total := 0
	for {
		piece := b[total:min(len(b), total+writePieceBytes)]
		n, err := c.writePiece(piece)
		total += n
		if err != nil || total == len(b) {
			return total, err
		}
	}
}

// writePiece writes a part of b. A deadline that passes after a byte has been
// accepted is no error, unless it is that of a whole response.
func (c *callerConn) writePiece(b []byte) (int, error) {
	if c.deadlineSet.Load() || c.isHijacked() {
		return c.writeNow(b)
	}
	whole := c.set.limits.Respond
	if first := !c.responding.Swap(true); whole > 0 && first {
		_ = c.TCPConn.SetWriteDeadline(c.set.clock.Now().Add(whole))
	}
	if whole == 0 {
		_ = c.TCPConn.SetWriteDeadline(c.set.clock.Now().Add(writeStallTimeout))
	}
	n, err := c.writeNow(b)
	if whole == 0 && n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n, err
}

func (c *callerConn) writeNow(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if n > 0 {
		c.claim.Progress()
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that all data passes through Write.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// evict closes the connection to give back its memory.
func (c *callerConn) evict() {
	c.set.mu.Lock()
	open := c.phase != closed
	c.set.enter(c, closed)
	c.set.mu.Unlock()
	if open {
		_ = c.TCPConn.Close()
		c.set.crowd.noteMemory()
	}
}

func (c *callerConn) isHijacked() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.phase == hijacked
}

// Close implements net.Conn. Closing a connection with unread bytes resets it,
// which may destroy an answer on its way, so they are read first.
func (c *callerConn) Close() error {
	if c.beginLinger() {
		// The server has released its buffers. The rest counts until the end, which
		// takes longer than others wait for room.
		c.claim.ShrinkTo(lingerClaimBytes)
		go c.linger()
		return nil
	}
	defer c.set.remove(c)
	return c.TCPConn.Close()
}

// beginLinger reports whether the connection has bytes to read before it closes.
func (c *callerConn) beginLinger() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.closing || c.phase == hijacked || c.phase == closed || c.unread() == 0 {
		c.closing = true
		return false
	}
	c.closing = true
	c.set.enter(c, lingering)
	return true
}

func (c *callerConn) linger() {
	defer c.set.remove(c)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(c.set.clock.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	_ = c.TCPConn.Close()
}
