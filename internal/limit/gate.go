package limit

import "time"

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.05
	// adaptInterval is the time between two changes of the concurrency: a
	// change shows in the measured delay only after a while.
	adaptInterval = 100 * time.Millisecond
	// decrease and increase change the concurrency in proportion.
	decrease = 0.9
	increase = 0.02
	// busyShare is the use above which the concurrency may grow; unused room
	// says nothing about the targets.
	busyShare = 0.8
	// serviceShare is the part of the first-token deadline that dispatched
	// work may take; the rest is left for the queue.
	serviceShare = 0.6
)

type (
	// Bounds of a Gate.
	Bounds struct {
		// Queue bounds the waiting requests.
		Queue int
		// Start, Min and Max bound the concurrency.
		Start, Min, Max int
		// Target is the deadline of the first token, from arrival.
		Target time.Duration
	}

	// Gate admits requests to dispatch.
	Gate struct {
		bounds Bounds
		queue  *Queue
		inUse  int
		// limit is the adapted concurrency.
		limit float64
		// room bounds the concurrency by what the targets admit; negative
		// for no bound.
		room int
		// hold and first are moving averages of the time that a request
		// holds its place, and of the time from dispatch to its first token.
		hold, first time.Duration
		adapted     time.Time
		// refused is true when targets refused work since the last change.
		refused bool
		spread  Spread
		nextID  uint64
	}

	// Admission is the decision over one arriving request.
	Admission struct {
		// Go admits the request at once; Refused refuses it. Otherwise it
		// waits as ticket ID.
		Go      bool
		Refused bool
		ID      uint64
		// Evicted is the ticket that makes room; 0 for none.
		Evicted uint64
		// Wait is the estimated wait.
		Wait time.Duration
	}
)

// NewGate returns a gate with nothing in use.
func NewGate(b Bounds) *Gate {
	return &Gate{bounds: b, queue: NewQueue(b.Queue), limit: float64(b.Start), room: -1}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.queue.Len() }

// InUse returns the number of dispatched requests.
func (g *Gate) InUse() int { return g.inUse }

// Limit returns the concurrency in force.
func (g *Gate) Limit() int {
	if g.room >= 0 && g.room < int(g.limit) {
		return g.room
	}
	return int(g.limit)
}

// SetRoom takes over how many more requests the targets admit, and returns the
// tickets that may go now. Without it, requests would be dispatched only to be
// refused by the agents.
func (g *Gate) SetRoom(free int) []uint64 {
	g.room = g.inUse + free
	return g.release()
}

// ClearRoom lifts the bound: without any target, requests fail at once.
func (g *Gate) ClearRoom() []uint64 {
	g.room = -1
	return g.release()
}

// Enter decides over an arriving request, whose first token is due within the
// deadline. A request whose estimated wait is longer is refused at once.
func (g *Gate) Enter(account string, weight int, deadline time.Duration, now time.Time) Admission {
	if g.queue.Len() == 0 && g.inUse < g.Limit() {
		g.inUse++
		return Admission{Go: true}
	}
	wait := g.wait(g.queue.Ahead(account, weight) + 1)
	if wait > g.Patience(deadline) {
		return Admission{Refused: true, Wait: wait}
	}
	g.nextID++
	a := Admission{ID: g.nextID, Wait: wait}
	if t := g.queue.Push(Ticket{ID: a.ID, Account: account, Weight: weight, Since: now}); t != nil {
		if t.ID == a.ID {
			return Admission{Refused: true, Wait: wait}
		}
		a.Evicted = t.ID
	}
	return a
}

// Patience is how long a request may wait so that its first token, due within
// the deadline, comes in time for 95 in 100: their time from dispatch to first
// token is taken as at most twice the mean.
func (g *Gate) Patience(deadline time.Duration) time.Duration {
	return max(deadline-2*g.first, deadline/10)
}

// Leave ends a dispatched request and returns the tickets that may go now.
func (g *Gate) Leave(held time.Duration) []uint64 {
	g.inUse--
	g.hold = average(g.hold, held)
	return g.release()
}

// LeaveUnserved ends a dispatched request that no target took. Its short time
// says nothing about the rate at which places become free.
func (g *Gate) LeaveUnserved() []uint64 {
	g.inUse--
	return g.release()
}

// Cancel takes a waiting request out; false when it does not wait any more.
func (g *Gate) Cancel(id uint64) bool { return g.queue.Remove(id) }

// FirstToken adds the time from dispatch to a first token.
func (g *Gate) FirstToken(d time.Duration) { g.first = average(g.first, d) }

// TargetRefused notes that targets were too busy for a dispatched request.
func (g *Gate) TargetRefused() { g.refused = true }

// Adapt changes the concurrency by the measured delay, and returns the
// tickets that may go now.
func (g *Gate) Adapt(now time.Time) []uint64 {
	if now.Sub(g.adapted) < adaptInterval {
		return nil
	}
	g.adapted = now
	slow := g.inUse > 0 && g.bounds.Target > 0 && float64(g.first) > serviceShare*float64(g.bounds.Target)
	switch {
	case slow || g.refused:
		// Places that are not used cannot cause the delay.
		g.limit = max(float64(g.bounds.Min), min(g.limit, 2*float64(g.inUse)+1)*decrease)
	case float64(g.inUse) >= busyShare*g.limit:
		g.limit = min(float64(g.bounds.Max), g.limit+max(1, increase*g.limit))
	}
	g.refused = false
	if g.inUse == 0 {
		// Old samples must not hold back a gate that is idle.
		g.first /= 2
	}
	return g.release()
}

// DrainPerSecond is the measured rate at which places become free; 0 while
// nothing was measured.
func (g *Gate) DrainPerSecond() float64 {
	if g.hold <= 0 {
		return 0
	}
	return float64(g.Limit()) / g.hold.Seconds()
}

// RetryAfter returns a hint for a refused request, spread over the drain rate.
// The random value is in [0, 1).
func (g *Gate) RetryAfter(now time.Time, random float64) time.Duration {
	rate := g.DrainPerSecond()
	if rate <= 0 {
		// Nothing has ended yet. Taking each place as free within a second is
		// early for most, which costs a refusal; too late would leave places
		// unused.
		rate = float64(max(1, g.inUse))
	}
	var after time.Duration
	g.spread, after = g.spread.Next(now, g.wait(float64(g.queue.Len())), rate, random)
	return after
}

func (g *Gate) wait(tickets float64) time.Duration {
	rate := g.DrainPerSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(tickets / rate * float64(time.Second))
}

func (g *Gate) release() []uint64 {
	var out []uint64
	for g.inUse < g.Limit() {
		t := g.queue.Pop()
		if t == nil {
			break
		}
		g.inUse++
		out = append(out, t.ID)
	}
	return out
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}
