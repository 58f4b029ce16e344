package limit

import (
	"container/heap"
	"time"
)

type (
	// Ticket is a request that waits in a Queue.
	Ticket struct {
		// ID is unique among the tickets of a queue.
		ID      uint64
		Account string
		// Weight is the weight of the account in fair queueing; at least 1.
		Weight int
		// Since is when the request was queued.
		Since time.Time
		// virtualFinish is the virtual time at which the ticket is served in a
		// fair schedule; tickets of one account are 1/Weight apart.
		virtualFinish float64
		// heapIndex is the position in Queue.tickets.
		heapIndex int
	}

	// Queue is a weighted fair queue of bounded length: start-time fair queueing
	// with requests of equal size.
	Queue struct {
		maxLength   int
		virtualTime float64
		tickets     ticketHeap
		byID        map[uint64]*Ticket
		backlogs    map[string]*backlog
	}

	// backlog holds the waiting tickets of one account, oldest first. An account
	// without waiting tickets has none.
	backlog struct {
		weight  int
		tickets []*Ticket
	}

	// ticketHeap is a min-heap by virtual finish time, then by ID.
	ticketHeap []*Ticket
)

// NewQueue returns an empty queue for at most maxLength tickets.
func NewQueue(maxLength int) *Queue {
	return &Queue{maxLength: maxLength, byID: map[uint64]*Ticket{}, backlogs: map[string]*backlog{}}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.tickets) }

// Push adds a ticket. If the queue is then too long, it evicts and returns the
// newest ticket of the account with the most tickets in proportion to its weight;
// this may be the new ticket itself.
func (q *Queue) Push(t Ticket) (evicted *Ticket) {
	t.Weight = max(t.Weight, 1)
	b := q.backlogs[t.Account]
	if b == nil {
		b = &backlog{}
		q.backlogs[t.Account] = b
	}
	b.weight = t.Weight
	t.virtualFinish = q.virtualTime
	if n := len(b.tickets); n > 0 {
		t.virtualFinish = b.tickets[n-1].virtualFinish
	}
	t.virtualFinish += 1 / float64(t.Weight)
	b.tickets = append(b.tickets, &t)
	q.byID[t.ID] = &t
	heap.Push(&q.tickets, &t)
	if len(q.tickets) <= q.maxLength {
		return nil
	}
	return q.evict()
}

// Pop removes and returns the ticket that is served next; nil if none waits.
func (q *Queue) Pop() *Ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	t := q.tickets[0]
	q.virtualTime = max(q.virtualTime, t.virtualFinish-1/float64(t.Weight))
	q.remove(t)
	return t
}

// Remove removes a ticket. It returns false if the ticket is not in the queue.
func (q *Queue) Remove(id uint64) bool {
	t, ok := q.byID[id]
	if ok {
		q.remove(t)
	}
	return ok
}

// EstimateAhead estimates how many tickets are served before a new one of the
// account: until the account's own tickets are served, every other account is
// served in proportion to its weight.
func (q *Queue) EstimateAhead(account string, weight int) float64 {
	own := 1.0
	if b := q.backlogs[account]; b != nil {
		own += float64(len(b.tickets))
	}
	rounds := own / float64(max(weight, 1))
	ahead := own - 1
	for name, b := range q.backlogs {
		if name != account {
			ahead += min(float64(len(b.tickets)), rounds*float64(b.weight))
		}
	}
	return ahead
}

func (q *Queue) evict() *Ticket {
	var largest *backlog
	for _, b := range q.backlogs {
		if largest == nil || b.weightedLength() > largest.weightedLength() ||
			b.weightedLength() == largest.weightedLength() && b.newest().Account < largest.newest().Account {
			largest = b
		}
	}
	t := largest.newest()
	q.remove(t)
	return t
}

func (b *backlog) weightedLength() float64 { return float64(len(b.tickets)) / float64(b.weight) }

func (b *backlog) newest() *Ticket { return b.tickets[len(b.tickets)-1] }

func (q *Queue) remove(t *Ticket) {
	heap.Remove(&q.tickets, t.heapIndex)
	delete(q.byID, t.ID)
	b := q.backlogs[t.Account]
	for i, other := range b.tickets {
		if other == t {
			b.tickets = append(b.tickets[:i], b.tickets[i+1:]...)
			break
		}
	}
	if len(b.tickets) == 0 {
		delete(q.backlogs, t.Account)
	}
}

// Len implements heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	if h[i].virtualFinish != h[j].virtualFinish {
		return h[i].virtualFinish < h[j].virtualFinish
	}
	return h[i].ID < h[j].ID
}

// Swap implements heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
