package limit

import (
	"container/heap"
	"time"
)

type (
	// Ticket is a request that waits.
	Ticket struct {
		// ID is unique among the tickets of a queue.
		ID      uint64
		Account string
		// Weight is the account's share; at least 1.
		Weight int
		// Since is when the request was queued.
		Since time.Time
		// finish is the virtual time by which the ticket is served in a fair
		// schedule; tickets of one account are 1/Weight apart.
		finish float64
		index  int
	}

	// Queue is a weighted fair queue of bounded length (start-time fair
	// queueing with requests of equal size).
	Queue struct {
		bound   int
		clock   float64
		order   order
		byID    map[uint64]*Ticket
		account map[string]*backlog
	}

	// backlog is the state of one account with waiting tickets.
	backlog struct {
		weight  int
		tickets []*Ticket
	}

	order []*Ticket
)

// NewQueue returns an empty queue for at most bound tickets.
func NewQueue(bound int) *Queue {
	return &Queue{bound: bound, byID: map[uint64]*Ticket{}, account: map[string]*backlog{}}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.order) }

// Push adds a ticket. When the queue is full, the newest ticket of the account
// that holds most of it for its weight makes room and is returned; that may be
// the new ticket itself.
func (q *Queue) Push(t Ticket) (evicted *Ticket) {
	t.Weight = max(t.Weight, 1)
	b := q.account[t.Account]
	if b == nil {
		b = &backlog{}
		q.account[t.Account] = b
	}
	b.weight = t.Weight
	t.finish = q.clock
	if n := len(b.tickets); n > 0 {
		t.finish = b.tickets[n-1].finish
	}
	t.finish += 1 / float64(t.Weight)
	b.tickets = append(b.tickets, &t)
	q.byID[t.ID] = &t
	heap.Push(&q.order, &t)
	if len(q.order) <= q.bound {
		return nil
	}
	return q.evict()
}

// Pop removes the ticket that is served next; nil when none waits.
func (q *Queue) Pop() *Ticket {
	if len(q.order) == 0 {
		return nil
	}
	t := q.order[0]
	q.clock = max(q.clock, t.finish-1/float64(t.Weight))
	q.remove(t)
	return t
}

// Remove takes a ticket out; false when it does not wait.
func (q *Queue) Remove(id uint64) bool {
	t, ok := q.byID[id]
	if ok {
		q.remove(t)
	}
	return ok
}

// Ahead estimates how many tickets are served before a new one of an account:
// each other account is served in proportion to its weight while this account
// works through its own tickets.
func (q *Queue) Ahead(account string, weight int) float64 {
	own := 1.0
	if b := q.account[account]; b != nil {
		own += float64(len(b.tickets))
	}
	turns := own / float64(max(weight, 1))
	ahead := own - 1
	for name, b := range q.account {
		if name != account {
			ahead += min(float64(len(b.tickets)), turns*float64(b.weight))
		}
	}
	return ahead
}

func (q *Queue) evict() *Ticket {
	var largest *backlog
	for _, b := range q.account {
		if largest == nil || b.share() > largest.share() ||
			b.share() == largest.share() && b.last().Account < largest.last().Account {
			largest = b
		}
	}
	t := largest.last()
	q.remove(t)
	return t
}

func (b *backlog) share() float64 { return float64(len(b.tickets)) / float64(b.weight) }

func (b *backlog) last() *Ticket { return b.tickets[len(b.tickets)-1] }

func (q *Queue) remove(t *Ticket) {
	heap.Remove(&q.order, t.index)
	delete(q.byID, t.ID)
	b := q.account[t.Account]
	for i, other := range b.tickets {
		if other == t {
			b.tickets = append(b.tickets[:i], b.tickets[i+1:]...)
			break
		}
	}
	if len(b.tickets) == 0 {
		delete(q.account, t.Account)
	}
}

// Len implements heap.Interface.
func (o order) Len() int { return len(o) }

// Less implements heap.Interface.
func (o order) Less(i, j int) bool {
	if o[i].finish != o[j].finish {
		return o[i].finish < o[j].finish
	}
	return o[i].ID < o[j].ID
}

// Swap implements heap.Interface.
func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index, o[j].index = i, j
}

// Push implements heap.Interface.
func (o *order) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*o)
	*o = append(*o, t)
}

// Pop implements heap.Interface.
func (o *order) Pop() any {
	old := *o
	t := old[len(old)-1]
	*o = old[:len(old)-1]
	return t
}
