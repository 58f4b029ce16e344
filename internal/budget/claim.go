package budget

import (
	"context"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// overHalf is for claims of an account that holds more than half of the bound.
	overHalf rankClass = iota
	// stalledLarge is for claims over SmallBytes without progress for stalledAge.
	stalledLarge
	// withoutRequest is for claims in phase Idle.
	withoutRequest
	otherLarge
	// otherSmall claims take little, so that they are the last to make room.
	otherSmall
)

type (
	// Claim is what one connection holds of a Budget. All methods may be called at
	// any time by any goroutine; on a nil Claim they count nothing.
	Claim struct {
		budget *Budget
		// id is the order of opening.
		id    uint64
		evict func()

		// The fields below are guarded by budget.mu.

		// index is the place in budget.claims.
		index int
		// held is not negative, and 0 once the claim is closed.
		held  int64
		phase Phase
		// progress is when the caller last sent or took bytes. While the claim
		// waits, the time stands still at waitedFrom, since the caller is not at
		// fault then.
		progress, waitedFrom time.Time
		// waiting is the number of its waiters.
		waiting int
		// account is nil if the account is not known.
		account     *account
		accountName string
		// leaving is true once the claim has given way. It gets no more memory.
		leaving bool
		closed  bool
	}

	// rank is the place of a claim in the order of giving way.
	rank struct {
		class rankClass
		// weight is what the claim holds, times the seconds without progress.
		weight    float64
		anonymous bool
		id        uint64
	}

	// rankClass is the kind of a claim; lower ones give way first.
	rankClass int
)

// Grow claims n more bytes, before they are read. If there is no room, other claims
// give way, and Grow waits a short time for their memory. It returns an Overloaded
// failure with outcome NotRun if there is no room then, or if the claim itself has
// given way. If the context has ended, it does not wait.
func (c *Claim) Grow(ctx context.Context, n int64) error {
	if c == nil || n <= 0 {
		return nil
	}
	w, victims, err := c.tryGrow(n)
	if w == nil {
		return err
	}
	for _, v := range victims {
		v.evict()
	}
	select {
	case <-w.done:
		return w.result()
	default:
	}
	timeout := timer.New(c.budget.clock, growWait)
	defer timeout.Stop()
	select {
	case <-w.done:
		return w.result()
	case <-timeout.C:
		return c.budget.abandon(w, nil)
	case <-ctx.Done():
		return c.budget.abandon(w, context.Cause(ctx))
	}
}

// tryGrow grows the claim if there is room. Otherwise it returns a waiter if there may
// be room later, with the claims whose evict function is to be called for it.
func (c *Claim) tryGrow(n int64) (w *waiter, victims []*Claim, err error) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	after := c.held + n
	switch {
	case c.leaving || c.closed:
		return nil, nil, b.refusal(GaveWay)
	case after > b.limit(after):
		return nil, nil, b.refusal(Size)
	case b.fits(c, n, b.kept(after)):
		c.add(n)
		return nil, nil, nil
	}
	w = &waiter{claim: c, n: n, done: make(chan struct{})}
	b.enqueue(w)
	return w, b.makeRoom(w), nil
}

// abandon ends the wait of a waiter, unless it has just ended. The cause is nil if
// the time is over.
func (b *Budget) abandon(w *waiter, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.done:
		return w.result()
	default:
	}
	why := Full
	if b.accountWaits(w.claim, w.n) {
		why = Account
	}
	b.refuse(w, why)
	// The waiters behind it may have waited for what was kept for it.
	b.admitWaiters()
	if cause != nil {
		return fault.New(fault.Canceled, "the caller disconnected").WithCause(cause)
	}
	return w.result()
}

// Shrink gives n bytes back, or all if the claim holds less.
func (c *Claim) Shrink(n int64) {
	if c == nil || n <= 0 {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.add(-min(n, c.held))
	c.budget.admitWaiters()
}

// ShrinkTo gives all but n bytes back.
func (c *Claim) ShrinkTo(n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.held > n {
		c.add(n - c.held)
		c.budget.admitWaiters()
	}
}

// Progress records that the caller has sent or taken bytes.
func (c *Claim) Progress() {
	if c == nil {
		return
	}
	now := c.budget.clock.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progress = now
}

// SetAccount records whose key the current request carries; "" if it is not known.
func (c *Claim) SetAccount(name string) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.closed && c.accountName != name {
		c.moveTo(name)
		c.budget.admitWaiters()
	}
}

// SetPhase records what the connection does.
func (c *Claim) SetPhase(p Phase) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.phase = p
}

// beginWrite sets the phase to Sending and returns the one before.
func (c *Claim) beginWrite() Phase {
	if c == nil {
		return Receiving
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	before := c.phase
	c.phase = Sending
	return before
}

// endWrite records progress and sets the phase to the one before the write.
func (c *Claim) endWrite(before Phase) {
	if c == nil {
		return
	}
	now := c.budget.clock.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.phase, c.progress = before, now
}

// GaveWay reports whether the claim has given way, so that its request is not to be
// sent to a target any more.
func (c *Claim) GaveWay() bool {
	if c == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.leaving
}

// gaveWay returns the failure of a request whose claim has given way, or nil.
func (c *Claim) gaveWay() *fault.Error {
	if !c.GaveWay() {
		return nil
	}
	return fault.New(fault.Overloaded, fullDetail).WithRetryAfter(retryAfter)
}

// BeginRun sets the phase to Running. It fails if the claim has given way, so that the
// request is not sent to a target any more.
func (c *Claim) BeginRun() error {
	c.SetPhase(Running)
	if failure := c.gaveWay(); failure != nil {
		return failure
	}
	return nil
}

// Close gives everything back. It may be called any number of times; the other
// methods have no effect afterwards, and Grow fails.
func (c *Claim) Close() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	b.refuseWaiters(c)
	c.add(-c.held)
	c.moveTo("")
	c.closed = true
	b.drop(c)
	b.admitWaiters()
}

// add changes what the claim holds, and all sums with it.
func (c *Claim) add(n int64) {
	c.held += n
	c.budget.used += n
	if c.leaving {
		c.budget.leaving += n
	}
	if c.account != nil {
		c.account.held += n
		if c.leaving {
			c.account.leaving += n
		}
	}
}

// moveTo moves the claim to another account.
func (c *Claim) moveTo(name string) {
	leaving := int64(0)
	if c.leaving {
		leaving = c.held
	}
	if a := c.account; a != nil {
		a.held, a.leaving = a.held-c.held, a.leaving-leaving
		a.waiting -= c.waiting
		if a.claims--; a.claims == 0 {
			delete(c.budget.accounts, c.accountName)
		}
	}
	c.account, c.accountName = nil, name
	if name == "" {
		return
	}
	a := c.budget.accounts[name]
	if a == nil {
		a = &account{}
		c.budget.accounts[name] = a
	}
	a.claims++
	a.held, a.leaving = a.held+c.held, a.leaving+leaving
	a.waiting += c.waiting
	c.account = a
}

// overHalf reports whether the claim's account holds more than half of the bound.
func (c *Claim) overHalf() bool {
	return c.account != nil && c.account.held-c.account.leaving > c.budget.bytes/2
}

// idle returns the time without progress.
func (c *Claim) idle(now time.Time) time.Duration {
	if c.waiting > 0 {
		now = c.waitedFrom
	}
	return c.progressAge(now)
}

func (c *Claim) progressAge(now time.Time) time.Duration { return max(0, now.Sub(c.progress)) }

func (c *Claim) rank(now time.Time) rank {
	return rank{class: c.rankClass(now), weight: float64(c.held) * c.idle(now).Seconds(), anonymous: c.account == nil, id: c.id}
}

func (c *Claim) rankClass(now time.Time) rankClass {
	switch large := c.held > SmallBytes; {
	case c.overHalf():
		return overHalf
	case large && c.idle(now) >= stalledAge:
		return stalledLarge
	case c.phase == Idle:
		return withoutRequest
	case large:
		return otherLarge
	}
	return otherSmall
}

func (c *Claim) evictionReason(now time.Time) Reason {
	switch {
	case c.overHalf():
		return Account
	case c.idle(now) >= stalledAge:
		return Stalled
	}
	return Size
}

// before reports whether a claim with rank r gives way before one with rank o. Those
// without a request give way in the order of opening. Among equal others, the newer gives
// way first, so that those that have begun can end.
func (r rank) before(o rank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.class == withoutRequest:
		return r.id < o.id
	case r.weight != o.weight:
		return r.weight > o.weight
	case r.anonymous != o.anonymous:
		return r.anonymous
	}
	return r.id > o.id
}
