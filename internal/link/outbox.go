package link

import "sync"

type (
	// sendQueue is the bounded send queue of one link.
	sendQueue struct {
		// ready holds a value while the queue may be non-empty.
		ready chan struct{}

		mu sync.Mutex
		// messages holds encoded messages in the order of Send.
		messages [][]byte
		// bytes is the total length of messages.
		bytes       int
		maxMessages int
		maxBytes    int
		closed      bool
		// writing is set while the messages returned by take are being written.
		writing bool
	}
)

func newSendQueue(maxMessages, maxBytes int) *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1), maxMessages: maxMessages, maxBytes: maxBytes}
}

// put queues an encoded message. An empty queue accepts a message of any size.
func (q *sendQueue) put(b []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errLinkDown
	}
	if len(q.messages) >= q.maxMessages || len(q.messages) > 0 && q.bytes+len(b) > q.maxBytes {
		return errQueueFull
	}
	q.messages = append(q.messages, b)
	q.bytes += len(b)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return nil
}

// take returns all queued messages and empties the queue, which goes on using
// the slice reuse.
func (q *sendQueue) take(reuse [][]byte) [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.messages
	q.writing = len(taken) > 0
	clear(reuse)
	q.messages = reuse[:0]
	q.bytes = 0
	return taken
}

// finishWrite records that the messages returned by take have been written.
func (q *sendQueue) finishWrite() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
}

// empty reports whether all queued messages have been written.
func (q *sendQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages) == 0 && !q.writing
}

func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.messages = nil
}
