package fengn

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcourse/internal/engine"
)

type (
	// cache is a prefix cache: it maps blocks of prompt tokens to the layer
	// states after them, and evicts the least recently used block.
	cache struct {
		cfg    Config
		blocks map[uint64]*list.Element
		// order lists the blocks, the most recently used one first.
		order    *list.List
		sequence uint64
		events   []timedEvent
	}

	block struct {
		key    uint64
		states [][]uint64
	}

	timedEvent struct {
		visibleAt time.Time
		event     engine.CacheEvent
	}
)

// maxCacheEvents is the number of newest events that are kept.
const maxCacheEvents = 4096

func newCache(cfg Config) *cache {
	return &cache{cfg: cfg, blocks: make(map[uint64]*list.Element), order: list.New()}
}

// lookup returns the states of the longest cached prefix of the session's
// prompt, at most limit positions.
func (c *cache) lookup(s *session, limit int) [][]uint64 {
	var states [][]uint64
	key := c.rootKey(s)
	for n := 0; (n+1)*c.cfg.BlockTokens <= limit; n++ {
		key = c.blockKey(key, s, n)
		el, ok := c.blocks[key]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		states = append(states, el.Value.(*block).states...)
	}
	return states
}

// addBlock caches the block of the prompt that the session has just completed,
// if its last position ended one.
func (c *cache) addBlock(s *session) {
	size := c.cfg.BlockTokens
	if s.next() > len(s.request.Prompt) || s.next()%size != 0 || s.next()/size <= s.cachedBlocks {
		return
	}
	s.cachedBlocks = s.next() / size
	key := c.rootKey(s)
	for n := range s.cachedBlocks {
		key = c.blockKey(key, s, n)
	}
	if _, ok := c.blocks[key]; ok {
		return
	}
	c.blocks[key] = c.order.PushFront(&block{key, s.states[s.next()-size : s.next() : s.next()]})
	c.recordEvent(true, key)
	for c.order.Len() > c.cfg.CacheBlocks {
		evicted := c.order.Remove(c.order.Back()).(*block)
		delete(c.blocks, evicted.key)
		c.recordEvent(false, evicted.key)
	}
}

func (c *cache) clear() {
	for key := range c.blocks {
		c.recordEvent(false, key)
	}
	c.blocks = make(map[uint64]*list.Element)
	c.order.Init()
}

// eventsSince returns the events after a sequence number that are at least
// EventLag old.
func (c *cache) eventsSince(after uint64, now time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, t := range c.events {
		if t.event.Sequence > after && !t.visibleAt.After(now) {
			out = append(out, t.event)
		}
	}
	return out
}

// recordEvent publishes an event, or drops it to make a gap in the sequence.
func (c *cache) recordEvent(added bool, key uint64) {
	c.sequence++
	if c.cfg.EventGap > 0 && c.sequence%uint64(c.cfg.EventGap) == 0 {
		return
	}
	visible := c.cfg.Timer.Now().Add(c.cfg.EventLag)
	c.events = append(c.events, timedEvent{visible, engine.CacheEvent{Sequence: c.sequence, Added: added, Block: key}})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// rootKey returns the parent key of the first block. Only sessions with the same
// model version, adapter and layers share blocks.
func (c *cache) rootKey(s *session) uint64 {
	r := s.request
	return hash64(xxhash.Sum64String(r.Version), xxhash.Sum64String(r.Adapter), uint64(r.Layers.From), uint64(r.Layers.To))
}

// blockKey returns the key of block n, chained to the key of the block before it.
func (c *cache) blockKey(parent uint64, s *session, n int) uint64 {
	key := parent
	for _, v := range s.request.Prompt[n*c.cfg.BlockTokens : (n+1)*c.cfg.BlockTokens] {
		key = hash64(key, uint64(v))
	}
	return key
}
