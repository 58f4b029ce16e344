// Package budget bounds the memory that callers can make a process hold. Each
// connection has a Claim on the process's Budget; when there is no room, the
// claims that stand still with the most memory give way.
package budget

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// SmallBytes is the maximum size of a claim that may use the reserve. Readers
	// claim blocks of at most this size.
	SmallBytes = 64 << 10

	// reserveShare is the part of the bound, as its divisor, that only small claims
	// may use.
	reserveShare = 8
	// growWait is how long Grow waits for memory to be given back.
	growWait = 200 * time.Millisecond
	// retryAfter is the hint for refused callers. Claims that stand still give way
	// at once, so the memory is held by requests that run; most take seconds.
	retryAfter = time.Second
	// stalledAge is the time without progress from which an eviction counts as
	// Stalled.
	stalledAge = time.Second

	// fullDetail is the description of a refusal for lack of room.
	fullDetail = "there is no memory left for the request at present"
)

const (
	// Receiving is the phase in which the request is read.
	Receiving Phase = iota
	// Running is the phase in which the request may be at a target.
	Running
	// Sending is the phase in which the response is written.
	Sending
	// Idle is the phase in which no byte of a request has arrived.
	Idle
)

const (
	// Full is a refusal because no memory was given back in time.
	Full Reason = "Full"
	// Size is the refusal of a claim that exceeds what a claim may ever hold, or
	// the eviction of one that held much.
	Size Reason = "Size"
	// Account is a refusal or eviction because the claim's account holds more than
	// half of the bound.
	Account Reason = "Account"
	// GaveWay is the refusal of a waiting claim in favour of another one.
	GaveWay Reason = "GaveWay"
	// Stalled is the eviction of a claim without progress.
	Stalled Reason = "Stalled"
)

type (
	// Phase is what a claim's connection does. Claims in phase Running are not
	// evicted.
	Phase int

	// Reason is why a claim was refused or evicted.
	Reason string

	// Options holds the settings of a Budget.
	Options struct {
		// Bytes is the bound on the sum of all claims.
		Bytes int64
		Clock timer.Service
	}

	// Stats describes a Budget at one time.
	Stats struct {
		// Used is at most Bound.
		Bound, Used int64
		// Claims is the number of open claims, Waiting that of calls to Grow that
		// wait.
		Claims, Waiting int
		// Refused and Evicted are counts since the start.
		Refused, Evicted map[Reason]uint64
	}

	// Budget is the memory that a process lets its callers claim.
	Budget struct {
		bytes int64
		clock timer.Service

		mu sync.Mutex
		// used is the sum of all claims, and leaving that of the claims that have
		// given way and are not closed yet.
		used, leaving int64
		// claims holds the open claims; claims[i].index is i.
		claims   []*Claim
		accounts map[string]*account
		// waiters is in order of arrival.
		waiters          []*waiter
		refused, evicted map[Reason]uint64
		// lastID is the ID of the newest claim.
		lastID uint64
	}

	// account is the sum of the claims of one account. It exists while it has
	// claims.
	account struct {
		claims int
		// waiting is the number of its waiters.
		waiting int
		// held includes leaving, which is what its leaving claims hold.
		held, leaving int64
	}

	// waiter is a call of Grow that waits.
	waiter struct {
		claim *Claim
		n     int64
		// covered is true if claims that hold enough memory give way for it.
		covered bool
		// done is closed when the waiter has left the queue; failure is nil then if
		// the claim has grown.
		done    chan struct{}
		failure *fault.Error
	}
)

// New returns a Budget without claims.
func New(o Options) *Budget {
	return &Budget{
		bytes: o.Bytes, clock: o.Clock, accounts: map[string]*account{},
		refused: map[Reason]uint64{}, evicted: map[Reason]uint64{},
	}
}

// Open returns an empty claim in phase Receiving. If the claim has to give way, evict is
// called once and without a lock held; it closes the connection or ends the read. It is
// not called for a claim that waits in Grow as it receives: that call fails instead, and
// its caller can still be answered. The memory counts until the claim is closed.
func (b *Budget) Open(evict func()) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	if evict == nil {
		evict = func() {}
	}
	c := &Claim{budget: b, id: b.lastID, index: len(b.claims), evict: evict, progress: b.clock.Now()}
	b.claims = append(b.claims, c)
	return c
}

// Stats returns the present figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Bound: b.bytes, Used: b.used, Claims: len(b.claims), Waiting: len(b.waiters),
		Refused: maps.Clone(b.refused), Evicted: maps.Clone(b.evicted),
	}
}

// limit returns how much of the bound a claim may use once it holds the given size.
func (b *Budget) limit(held int64) int64 {
	if held <= SmallBytes {
		return b.bytes
	}
	return b.bytes - b.bytes/reserveShare
}

// fits reports whether c can grow by n now, besides what is kept for others.
func (b *Budget) fits(c *Claim, n, kept int64) bool {
	return b.used+kept+n <= b.limit(c.held+n) && !b.accountWaits(c, n)
}

// accountWaits reports whether the claim's account may not grow by n because it
// would hold more than half of the bound while claims of others wait.
func (b *Budget) accountWaits(c *Claim, n int64) bool {
	return c.account != nil && c.account.held+n > b.bytes/2 && len(b.waiters) > c.account.waiting
}

// kept returns the memory that is kept for covered waiters from a claim of the given
// size. Small claims need not wait behind others, since the reserve is theirs alone.
func (b *Budget) kept(held int64) int64 {
	sum := int64(0)
	for _, w := range b.waiters {
		if w.covered && (held > SmallBytes || w.small()) {
			sum += w.n
		}
	}
	return sum
}

// admitWaiters grants the waiters that fit, first those for which claims gave way.
func (b *Budget) admitWaiters() {
	if len(b.waiters) == 0 {
		return
	}
	keptSmall, keptAll := int64(0), int64(0)
	for _, covered := range []bool{true, false} {
		for _, w := range slices.Clone(b.waiters) {
			if w.covered != covered {
				continue
			}
			kept := keptAll
			if w.small() {
				kept = keptSmall
			}
			if b.fits(w.claim, w.n, kept) {
				b.remove(w)
				w.claim.add(w.n)
				close(w.done)
				continue
			}
			if covered {
				keptAll += w.n
				if w.small() {
					keptSmall += w.n
				}
			}
		}
	}
}

// refuse ends a wait without memory.
func (b *Budget) refuse(w *waiter, why Reason) {
	b.remove(w)
	w.failure = b.refusal(why)
	close(w.done)
}

// refuseWaiters ends the waits of a claim that gives way or is closed.
func (b *Budget) refuseWaiters(c *Claim) {
	for _, w := range slices.Clone(b.waiters) {
		if w.claim == c {
			b.refuse(w, GaveWay)
		}
	}
}

// refusal counts a refusal and returns the failure of the request.
func (b *Budget) refusal(why Reason) *fault.Error {
	b.refused[why]++
	detail := fullDetail
	if why == Account {
		detail = "the account holds too much memory while others wait"
	}
	return fault.New(fault.Overloaded, detail).WithRetryAfter(retryAfter)
}

func (b *Budget) enqueue(w *waiter) {
	c := w.claim
	if c.waiting == 0 {
		c.waitedFrom = b.clock.Now()
	}
	b.waiters = append(b.waiters, w)
	c.waiting++
	if c.account != nil {
		c.account.waiting++
	}
}

func (b *Budget) remove(w *waiter) {
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	c := w.claim
	if c.waiting--; c.waiting == 0 {
		now := b.clock.Now()
		c.progress = now.Add(-c.progressAge(c.waitedFrom))
	}
	if c.account != nil {
		c.account.waiting--
	}
}

// makeRoom lets claims give way until the waiter is covered, and returns those whose
// evict function is to be called. Claims that rank behind that of the waiter do not
// give way for it.
func (b *Budget) makeRoom(w *waiter) []*Claim {
	if b.accountWaits(w.claim, w.n) {
		return nil
	}
	after := w.claim.held + w.n
	short := b.used + b.kept(after) + w.n - b.leaving - b.limit(after)
	var out []*Claim
	for now := b.clock.Now(); short > 0; {
		v := b.victim(now)
		if v == nil || v == w.claim {
			return out
		}
		short -= v.held
		if b.giveWay(v, now) {
			out = append(out, v)
		}
	}
	w.covered = true
	return out
}

// victim returns the claim that gives way first; nil if none may.
func (b *Budget) victim(now time.Time) *Claim {
	var first *Claim
	var firstRank rank
	for _, c := range b.claims {
		if c.phase == Running || c.leaving || c.held == 0 {
			continue
		}
		if r := c.rank(now); first == nil || r.before(firstRank) {
			first, firstRank = c, r
		}
	}
	return first
}

// giveWay marks a claim as leaving, ends its waits, and reports whether its evict function
// is to be called.
func (b *Budget) giveWay(c *Claim, now time.Time) (evict bool) {
	why := c.evictionReason(now)
	c.leaving = true
	b.leaving += c.held
	if c.account != nil {
		c.account.leaving += c.held
	}
	evict = c.waiting == 0 || c.phase == Sending
	b.refuseWaiters(c)
	if evict {
		b.evicted[why]++
	}
	return evict
}

// drop removes a claim from the open ones.
func (b *Budget) drop(c *Claim) {
	last := len(b.claims) - 1
	b.claims[c.index] = b.claims[last]
	b.claims[c.index].index = c.index
	b.claims[last] = nil
	b.claims = b.claims[:last]
}

func (w *waiter) small() bool { return w.claim.held+w.n <= SmallBytes }

// result returns the outcome of a waiter that is done.
func (w *waiter) result() error {
	if w.failure == nil {
		return nil
	}
	return w.failure
}

// contextKey is the key of the claim in a context.
type contextKey struct{}

// WithClaim returns a context that carries the claim of a connection.
func WithClaim(ctx context.Context, c *Claim) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the claim that a context carries; nil if there is none.
func FromContext(ctx context.Context) *Claim {
	c, _ := ctx.Value(contextKey{}).(*Claim)
	return c
}
