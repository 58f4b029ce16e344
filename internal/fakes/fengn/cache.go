package fengn

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcourse/internal/engine"
)

type (
	// cache keeps the states of prompt prefixes in blocks, within a bound.
	cache struct {
		cfg    Config
		blocks map[uint64]*list.Element
		// order has the least recently used block at the back.
		order    *list.List
		sequence uint64
		events   []timedEvent
	}

	block struct {
		key    uint64
		states [][]uint64
	}

	timedEvent struct {
		visible time.Time
		event   engine.CacheEvent
	}
)

// maxEvents bounds the events kept for readers.
const maxEvents = 4096

func newCache(cfg Config) *cache {
	return &cache{cfg: cfg, blocks: make(map[uint64]*list.Element), order: list.New()}
}

// lookup returns the states of the longest cached prefix of up to limit
// positions.
func (c *cache) lookup(s *session, limit int) [][]uint64 {
	var states [][]uint64
	key := c.root(s)
	for n := 0; (n+1)*c.cfg.BlockTokens <= limit; n++ {
		key = c.key(key, s, n)
		el, ok := c.blocks[key]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		states = append(states, el.Value.(*block).states...)
	}
	return states
}

// offer adds the block that the session's last position completes.
func (c *cache) offer(s *session) {
	size := c.cfg.BlockTokens
	if s.next() > len(s.request.Prompt) || s.next()%size != 0 || s.next()/size <= s.cached {
		return
	}
	s.cached = s.next() / size
	key := c.root(s)
	for n := range s.cached {
		key = c.key(key, s, n)
	}
	if _, ok := c.blocks[key]; ok {
		return
	}
	c.blocks[key] = c.order.PushFront(&block{key, s.states[s.next()-size : s.next() : s.next()]})
	c.record(true, key)
	for c.order.Len() > c.cfg.CacheBlocks {
		old := c.order.Remove(c.order.Back()).(*block)
		delete(c.blocks, old.key)
		c.record(false, old.key)
	}
}

func (c *cache) clear() {
	for key := range c.blocks {
		c.record(false, key)
	}
	c.blocks = make(map[uint64]*list.Element)
	c.order.Init()
}

// since returns the visible events after a sequence number.
func (c *cache) since(after uint64, now time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, t := range c.events {
		if t.event.Sequence > after && !t.visible.After(now) {
			out = append(out, t.event)
		}
	}
	return out
}

func (c *cache) record(added bool, key uint64) {
	c.sequence++
	if c.cfg.EventGap > 0 && c.sequence%uint64(c.cfg.EventGap) == 0 {
		return
	}
	visible := c.cfg.Timer.Now().Add(c.cfg.EventLag)
	c.events = append(c.events, timedEvent{visible, engine.CacheEvent{Sequence: c.sequence, Added: added, Block: key}})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents:]...)
	}
}

func (c *cache) root(s *session) uint64 {
	r := s.request
	return digest(xxhash.Sum64String(r.Version), xxhash.Sum64String(r.Adapter), uint64(r.Layers.From), uint64(r.Layers.To))
}

// key returns the identity of block n given that of the block before it.
func (c *cache) key(before uint64, s *session, n int) uint64 {
	key := before
	for _, v := range s.request.Prompt[n*c.cfg.BlockTokens : (n+1)*c.cfg.BlockTokens] {
		key = digest(key, uint64(v))
	}
	return key
}
