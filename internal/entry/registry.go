package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"shallotcourse/internal/steps"
)

const (
	// shardCount spreads open requests over locks, so that tokens of
	// different requests rarely meet.
	shardCount = 64
	// mailboxSlack is the number of events beyond the tokens of the answer
	// that a mailbox holds.
	mailboxSlack = 256
)

type (
	// registry holds the open requests of this entry.
	registry struct{ shards [shardCount]shard }

	shard struct {
		mu    sync.RWMutex
		boxes map[string]*mailbox
	}

	// mailbox takes the events of one request from any link without
	// blocking it.
	mailbox struct {
		mu     sync.Mutex
		events []steps.Event
		// bound is the number of events above which the rest is dropped. The
		// coordinator recovers dropped tokens when its stall timer fires.
		bound int
		// wake holds a value while events wait.
		wake chan struct{}
	}
)

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].boxes = map[string]*mailbox{}
	}
	return r
}

func newMailbox(bound int) *mailbox {
	return &mailbox{bound: bound, wake: make(chan struct{}, 1)}
}

func (r *registry) shard(request string) *shard {
	return &r.shards[xxhash.Sum64String(request)%shardCount]
}

func (r *registry) add(request string, b *mailbox) {
	s := r.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes[request] = b
}

func (r *registry) remove(request string) {
	s := r.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.boxes, request)
}

// post hands an event to an open request; false if there is none.
func (r *registry) post(request string, ev steps.Event) bool {
	s := r.shard(request)
	s.mu.RLock()
	b := s.boxes[request]
	s.mu.RUnlock()
	if b == nil {
		return false
	}
	b.post(ev)
	return true
}

// broadcast hands an event to all open requests.
func (r *registry) broadcast(ev steps.Event) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, b := range s.boxes {
			b.post(ev)
		}
		s.mu.RUnlock()
	}
}

func (b *mailbox) post(ev steps.Event) {
	b.mu.Lock()
	if len(b.events) < b.bound {
		b.events = append(b.events, ev)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the waiting events and keeps spare for the next ones.
func (b *mailbox) take(spare []steps.Event) []steps.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = spare[:0]
	return events
}
