package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"shallotcourse/internal/steps"
)

const (
	// shardCount is the number of locks over which open requests are spread, so
	// that events of different requests rarely contend.
	shardCount = 64
	// mailboxExtraEvents is the number of events that a mailbox holds beyond
	// the tokens of the answer.
	mailboxExtraEvents = 256
)

type (
	// registry holds the mailboxes of the open requests of this entry.
	registry struct{ shards [shardCount]shard }

	shard struct {
		mu        sync.RWMutex
		mailboxes map[string]*mailbox
	}

	// mailbox queues the events of one request. Posting never blocks, so that
	// one slow request does not delay the others on the same link.
	mailbox struct {
		mu     sync.Mutex
		events []steps.Event
		// capacity is the maximum number of events; further ones are dropped.
		// The coordinator recovers dropped tokens when its stall timer fires.
		capacity int
		// wake holds a value while events are waiting.
		wake chan struct{}
	}
)

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].mailboxes = map[string]*mailbox{}
	}
	return r
}

func newMailbox(capacity int) *mailbox {
	return &mailbox{capacity: capacity, wake: make(chan struct{}, 1)}
}

func (r *registry) shard(request string) *shard {
	return &r.shards[xxhash.Sum64String(request)%shardCount]
}

func (r *registry) add(request string, b *mailbox) {
	s := r.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mailboxes[request] = b
}

func (r *registry) remove(request string) {
	s := r.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.mailboxes, request)
}

// post adds an event to the mailbox of an open request; false if the request is
// not open.
func (r *registry) post(request string, ev steps.Event) bool {
	s := r.shard(request)
	s.mu.RLock()
	b := s.mailboxes[request]
	s.mu.RUnlock()
	if b == nil {
		return false
	}
	b.post(ev)
	return true
}

// broadcast adds an event to the mailboxes of all open requests.
func (r *registry) broadcast(ev steps.Event) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, b := range s.mailboxes {
			b.post(ev)
		}
		s.mu.RUnlock()
	}
}

func (b *mailbox) post(ev steps.Event) {
	b.mu.Lock()
	if len(b.events) < b.capacity {
		b.events = append(b.events, ev)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the waiting events. The mailbox uses the memory of reuse for the
// next ones.
func (b *mailbox) take(reuse []steps.Event) []steps.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = reuse[:0]
	return events
}
