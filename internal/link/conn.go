package link

import (
	"bytes"
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log/level"
	"github.com/gorilla/websocket"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// conn is an established link. It implements Peer.
	conn struct {
		group *Group
		ws    *websocket.Conn
		hello wire.Hello
		queue *sendQueue
		done  chan struct{}
		// readDone is closed when the read loop has ended, and connClosed when
		// the WebSocket connection has been closed.
		readDone, connClosed chan struct{}
		// dialedAddress is the address that was dialled; empty for an accepted
		// link.
		dialedAddress string

		once sync.Once
		// reason is why the link ended. It is set before done is closed and not
		// changed afterwards.
		reason error

		// lastReceived is the time at which bytes were last received, as an
		// offset from the start of the group.
		lastReceived atomic.Int64
		// writeStart is the time at which the current write began, as the same
		// offset, or 0 if there is none.
		writeStart atomic.Int64
	}
)

var (
	_ Peer = (*conn)(nil)

	// writeBufferPool and frameBuffers are shared by all links: the first holds
	// buffers for writing, the second for received frames.
	writeBufferPool = &sync.Pool{}
	frameBuffers    = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// Hello implements Peer.
func (c *conn) Hello() wire.Hello { return c.hello }

// Done implements Peer.
func (c *conn) Done() <-chan struct{} { return c.done }

// Dialed returns the address that was dialled for a peer, which may differ from
// the address in its Hello; empty for an accepted link.
func Dialed(p Peer) string {
	if c, ok := p.(*conn); ok {
		return c.dialedAddress
	}
	return ""
}

// Send implements Peer.
func (c *conn) Send(m wire.Message) error {
	b, err := wire.Encode(m)
	if err != nil {
		return err
	}
	return c.sendEncoded(b)
}

// Close implements Peer. It does not wait for the peer, because one that is
// silent would never answer.
func (c *conn) Close(reason error) {
	c.once.Do(func() {
		c.reason = reason
		c.queue.close()
		close(c.done)
		c.group.remove(c)
		go func() {
			c.group.closeConn(c.ws, reason, c.readDone)
			close(c.connClosed)
		}()
	})
}

func (c *conn) isOpen() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

func (c *conn) sendEncoded(b []byte) error {
	err := c.queue.put(b)
	if err == errQueueFull {
		go c.Close(errQueueFull)
	}
	return err
}

// readLoop passes received messages to the handler until the link ends.
func (c *conn) readLoop() {
	handler := c.group.config.Handler
	handler.LinkUp(c)
	var err error
	for err == nil {
		err = c.readFrameSafely(handler)
	}
	c.Close(readError(err))
	close(c.readDone)
	level.Info(c.group.config.Logger).Log("msg", "link down", "peer", c.hello.Instance, "reason", c.reason)
	handler.LinkDown(c, c.reason)
}

// readFrameSafely ends only the link if a message makes its handler panic.
func (c *conn) readFrameSafely(handler Handler) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fault.Recovered(value)
			level.Error(c.group.config.Logger).Log("msg", "panic in a message handler", "peer", c.hello.Instance, "err", err)
		}
	}()
	return c.readFrame(handler)
}

func (c *conn) readFrame(handler Handler) error {
	_, r, err := c.ws.NextReader()
	if err != nil {
		return err
	}
	c.markReceived()
	buffer := frameBuffers.Get().(*bytes.Buffer)
	defer releaseFrame(buffer)
	if _, err := buffer.ReadFrom(activityReader{r, c}); err != nil {
		return err
	}
	// Decoding copies the data, so the buffer can be reused.
	b := buffer.Bytes()
	c.group.stats.framesIn.Add(1)
	c.group.stats.bytesIn.Add(uint64(len(b)))
	for len(b) > 0 {
		m, rest, err := wire.DecodeFirst(b)
		if err != nil {
			return err
		}
		if _, again := m.(wire.Hello); again {
			return fault.New(fault.Malformed, "unexpected second Hello")
		}
		c.group.stats.messagesIn.Add(1)
		b = rest
		select {
		case <-c.done:
			// Discard the message, but read on until the peer closes its end:
			// closing a connection with unread data would reset it.
		default:
			handler.Receive(c, m)
		}
	}
	return nil
}

func releaseFrame(b *bytes.Buffer) {
	if b.Cap() <= 4*maxBatchBytes {
		b.Reset()
		frameBuffers.Put(b)
	}
}

// writeLoop writes queued messages until the link ends.
func (c *conn) writeLoop() {
	var reuse [][]byte
	var frame []byte
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
		}
		messages := c.queue.take(reuse)
		for rest := messages; len(rest) > 0; {
			frame, rest = appendBatch(frame[:0], rest)
			if err := c.writeFrame(frame); err != nil {
				c.Close(errLinkDown.WithCause(err))
				return
			}
		}
		c.queue.finishWrite()
		c.group.stats.messagesOut.Add(uint64(len(messages)))
		reuse = messages
		if cap(frame) > 4*maxBatchBytes {
			frame = nil
		}
	}
}

func (c *conn) writeFrame(frame []byte) error {
	c.group.stats.framesOut.Add(1)
	c.group.stats.bytesOut.Add(uint64(len(frame)))
	defer c.writeStart.Store(0)
	if len(frame) <= maxBatchBytes {
		c.writeStart.Store(int64(c.group.elapsed()))
		return c.ws.WriteMessage(websocket.BinaryMessage, frame)
	}
	w, err := c.ws.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	// The write timeout applies to each part, so that a large message may take
	// longer on a slow link.
	for part := range slices.Chunk(frame, maxBatchBytes) {
		c.writeStart.Store(int64(c.group.elapsed()))
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Close()
}

// appendBatch appends messages to the frame, at least one and up to
// maxBatchBytes, and returns those that are left.
func appendBatch(frame []byte, messages [][]byte) ([]byte, [][]byte) {
	n := 0
	for n < len(messages) && (n == 0 || len(frame)+len(messages[n]) <= maxBatchBytes) {
		frame = append(frame, messages[n]...)
		n++
	}
	return frame, messages[n:]
}

func (c *conn) markReceived() { c.lastReceived.Store(int64(c.group.elapsed())) }

// activityReader records each part of a large frame as received data, since the
// peer can send no heartbeat until the frame is complete.
type activityReader struct {
	io.Reader
	c *conn
}

// Read implements io.Reader.
func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.c.markReceived()
	return n, err
}
