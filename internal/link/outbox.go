package link

import "sync"

type (
	// outbox is the bounded send queue of one link.
	outbox struct {
		// wake holds a token while the queue may be non-empty.
		wake chan struct{}

		mu sync.Mutex
		// queue holds encoded messages in the order of Send.
		queue [][]byte
		// bytes is the sum of the lengths in queue.
		bytes       int
		maxMessages int
		maxBytes    int
		closed      bool
		// busy is set while messages that were taken are being written.
		busy bool
	}
)

func newOutbox(maxMessages, maxBytes int) *outbox {
	return &outbox{wake: make(chan struct{}, 1), maxMessages: maxMessages, maxBytes: maxBytes}
}

// put queues an encoded message. An empty queue takes a message of any size.
func (o *outbox) put(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return errDown
	}
	if len(o.queue) >= o.maxMessages || len(o.queue) > 0 && o.bytes+len(b) > o.maxBytes {
		return errFull
	}
	o.queue = append(o.queue, b)
	o.bytes += len(b)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// take returns all queued messages and empties the queue. The spare slice
// becomes the new queue.
func (o *outbox) take(spare [][]byte) [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.queue
	o.busy = len(taken) > 0
	clear(spare)
	o.queue = spare[:0]
	o.bytes = 0
	return taken
}

// written ends the writing of the taken messages.
func (o *outbox) written() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy = false
}

// empty reports whether all queued messages were written.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) == 0 && !o.busy
}

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.queue = nil
}
