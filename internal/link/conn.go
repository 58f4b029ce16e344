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
	// conn is one established link. It implements Peer.
	conn struct {
		group *Group
		ws    *websocket.Conn
		hello wire.Hello
		out   *outbox
		done  chan struct{}
		// unread is closed when the reader has stopped, and gone when the
		// connection itself is closed.
		unread, gone chan struct{}
		// dialed is the address that was dialled; empty if it was accepted.
		dialed string

		once sync.Once
		// reason is written before done is closed and never after.
		reason error

		// received is the time of the last received bytes, as an offset from
		// the start of the group.
		received atomic.Int64
		// writing is the time at which the current write began, or 0.
		writing atomic.Int64
	}
)

var (
	_ Peer = (*conn)(nil)

	// frames holds buffers for received frames, which all links share.
	writeBuffers = &sync.Pool{}
	frames       = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// Hello implements Peer.
func (c *conn) Hello() wire.Hello { return c.hello }

// Done implements Peer.
func (c *conn) Done() <-chan struct{} { return c.done }

// Dialed returns the address that was dialled for a peer, which may differ from
// the address in its Hello; empty for an accepted link.
func Dialed(p Peer) string {
	if c, ok := p.(*conn); ok {
		return c.dialed
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

// Close implements Peer. It does not wait for the peer, because a silent link
// would never answer.
func (c *conn) Close(reason error) {
	c.once.Do(func() {
		c.reason = reason
		c.out.close()
		close(c.done)
		c.group.remove(c)
		go func() {
			c.group.end(c.ws, reason, c.unread)
			close(c.gone)
		}()
	})
}

func (c *conn) open() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

func (c *conn) sendEncoded(b []byte) error {
	err := c.out.put(b)
	if err == errFull {
		go c.Close(errFull)
	}
	return err
}

// read runs the handler for one link until it ends.
func (c *conn) read() {
	handler := c.group.config.Handler
	handler.LinkUp(c)
	var err error
	for err == nil {
		err = c.readFrame(handler)
	}
	c.Close(readFailure(err))
	close(c.unread)
	level.Info(c.group.config.Logger).Log("msg", "link down", "peer", c.hello.Instance, "reason", c.reason)
	handler.LinkDown(c, c.reason)
}

func (c *conn) readFrame(handler Handler) error {
	_, r, err := c.ws.NextReader()
	if err != nil {
		return err
	}
	c.touch()
	buffer := frames.Get().(*bytes.Buffer)
	defer release(buffer)
	if _, err := buffer.ReadFrom(touchReader{r, c}); err != nil {
		return err
	}
	// Decoding copies, so that the buffer can be used again.
	b := buffer.Bytes()
	c.group.stats.framesIn.Add(1)
	c.group.stats.bytesIn.Add(uint64(len(b)))
	for len(b) > 0 {
		m, rest, err := wire.DecodeFirst(b)
		if err != nil {
			return err
		}
		if _, again := m.(wire.Hello); again {
			return fault.New(fault.Malformed, "a second Hello arrived")
		}
		c.group.stats.messagesIn.Add(1)
		b = rest
		select {
		case <-c.done:
			// The rest is read until the peer closes its end too, because
			// closing a connection with unread data would reset it.
		default:
			handler.Receive(c, m)
		}
	}
	return nil
}

func release(b *bytes.Buffer) {
	if b.Cap() <= 4*batchBytes {
		b.Reset()
		frames.Put(b)
	}
}

// write sends queued messages until the link ends.
func (c *conn) write() {
	var spare [][]byte
	var frame []byte
	for {
		select {
		case <-c.done:
			return
		case <-c.out.wake:
		}
		messages := c.out.take(spare)
		for rest := messages; len(rest) > 0; {
			frame, rest = join(frame[:0], rest)
			if err := c.writeFrame(frame); err != nil {
				c.Close(errDown.WithCause(err))
				return
			}
		}
		c.out.written()
		c.group.stats.messagesOut.Add(uint64(len(messages)))
		spare = messages
		if cap(frame) > 4*batchBytes {
			frame = nil
		}
	}
}

func (c *conn) writeFrame(frame []byte) error {
	c.group.stats.framesOut.Add(1)
	c.group.stats.bytesOut.Add(uint64(len(frame)))
	defer c.writing.Store(0)
	if len(frame) <= batchBytes {
		c.writing.Store(int64(c.group.elapsed()))
		return c.ws.WriteMessage(websocket.BinaryMessage, frame)
	}
	w, err := c.ws.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	// The bound of a write holds for each part, so that a large message may
	// take its time on a slow link.
	for part := range slices.Chunk(frame, batchBytes) {
		c.writing.Store(int64(c.group.elapsed()))
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Close()
}

// join appends messages to the frame up to its bound, at least one, and
// returns the messages that are left.
func join(frame []byte, messages [][]byte) ([]byte, [][]byte) {
	n := 0
	for n < len(messages) && (n == 0 || len(frame)+len(messages[n]) <= batchBytes) {
		frame = append(frame, messages[n]...)
		n++
	}
	return frame, messages[n:]
}

func (c *conn) touch() { c.received.Store(int64(c.group.elapsed())) }

// touchReader counts each part of a large frame as a sign of life, since a
// heartbeat can only follow the frame.
type touchReader struct {
	io.Reader
	c *conn
}

// Read implements io.Reader.
func (r touchReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.c.touch()
	return n, err
}
