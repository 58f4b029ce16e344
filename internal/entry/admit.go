package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/route"
	"shallotcourse/internal/store"
	"shallotcourse/pkg/resrc"
)

const (
	// adaptInterval is the time between looks at the gates.
	adaptInterval = 100 * time.Millisecond
	// minConcurrency keeps a trickle going, by which the delay is measured.
	minConcurrency = 16
	// concurrencyPause is the least retry hint of an account with too many
	// open requests: one of them has to end first.
	concurrencyPause = 100 * time.Millisecond
)

type (
	// admission applies account limits and the two gates. Its lock is taken a
	// few times per request, never per token.
	admission struct {
		entry *Entry
		mu    sync.Mutex
		// models holds a gate for each version. Services have their own, since
		// they do not share targets with models.
		models   map[string]*gate
		services *gate
		accounts map[string]*account
		lenders  map[string]*limit.Lender
		budget   limit.Budget
	}

	gate struct {
		*limit.Gate
		// waiters holds a channel for each ticket; it gets nil when the
		// ticket may go.
		waiters map[uint64]chan error
	}

	// account is the part of an account's limits that this entry applies.
	account struct {
		bucket limit.Bucket
		rates  limit.Rates
		open   int
		spread limit.Spread
		// arrived counts requests since the last quota period.
		arrived int
		// granted is the lent rate, valid up to lentUntil.
		granted   float64
		lentUntil time.Time
		used      time.Time
	}

	// pass is the admission of one request.
	pass struct {
		admission *admission
		gate      *gate
		account   *account
		since     time.Time
		// unserved is true after targets refused the request, until its first
		// token.
		unserved bool
	}
)

func newAdmission(e *Entry) *admission {
	b, now := e.bounds, e.cfg.Timer.Now()
	services := limit.Bounds{Queue: b.Queue, Start: b.Concurrency, Min: b.Concurrency, Max: b.Concurrency}
	return &admission{
		entry: e, models: map[string]*gate{}, services: newGate(services), accounts: map[string]*account{},
		lenders: map[string]*limit.Lender{}, budget: limit.NewBudget(now),
	}
}

func newGate(b limit.Bounds) *gate {
	return &gate{Gate: limit.NewGate(b), waiters: map[uint64]chan error{}}
}

// model returns the gate of a version.
func (a *admission) model(version string) *gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.models[version]
	if !ok {
		b := a.entry.bounds
		g = newGate(limit.Bounds{
			Queue: b.Queue, Start: b.Concurrency, Min: min(minConcurrency, b.Concurrency), Max: 4 * b.Concurrency,
			Target: b.FirstToken,
		})
		a.makeRoom(version, g)
		a.models[version] = g
	}
	return g
}

// enter admits a request of an account to a gate, or refuses it as NotRun.
func (a *admission) enter(ctx context.Context, name string, g *gate, deadline time.Duration) (*pass, error) {
	spec, ok := store.Spec[resrc.ClientAccount](a.entry.cfg.Snapshot.Value(), name)
	if !ok {
		return nil, fault.New(fault.Unauthorized, "API key is missing or wrong")
	}
	now := a.entry.cfg.Timer.Now()
	a.mu.Lock()
	c, err := a.charge(name, spec, g, now)
	if err != nil {
		a.mu.Unlock()
		return nil, err
	}
	p := &pass{admission: a, gate: g, account: c, since: now}
	d := g.Enter(name, spec.Weight, deadline, now)
	if d.Evicted != 0 {
		g.wake(d.Evicted, a.overloaded(g, now))
	}
	if d.Refused {
		err := a.overloaded(g, now)
		c.open--
		c.bucket = c.bucket.Give()
		a.mu.Unlock()
		return nil, err
	}
	if d.Go {
		a.mu.Unlock()
		return p, nil
	}
	ch := make(chan error, 1)
	g.waiters[d.ID] = ch
	patience := g.Patience(deadline)
	a.mu.Unlock()
	return a.wait(ctx, p, d.ID, ch, patience)
}

// charge takes the request from the account's limits.
func (a *admission) charge(name string, spec resrc.ClientAccount, g *gate, now time.Time) (*account, error) {
	c := a.account(name, spec, now)
	c.arrived++
	c.used = now
	if c.open >= c.rates.Concurrency {
		f := fault.New(fault.LimitReached, "account has too many open requests")
		return nil, f.WithRetryAfter(c.hint(now, concurrencyPause, min(c.rates.PerSecond, g.DrainPerSecond())))
	}
	bucket, wait := c.bucket.Take(now)
	c.bucket = bucket
	if wait > 0 {
		f := fault.New(fault.LimitReached, "account is over its rate")
		return nil, f.WithRetryAfter(c.hint(now, wait, c.rates.PerSecond))
	}
	c.open++
	return c, nil
}

// account returns the state of an account under its current limits.
func (a *admission) account(name string, spec resrc.ClientAccount, now time.Time) *account {
	all := ratesOf(spec)
	c, ok := a.accounts[name]
	want := all.Share(a.entry.entryCount())
	if ok && now.Before(c.lentUntil) {
		want = all.Lent(c.granted)
	}
	if !ok {
		c = &account{bucket: limit.NewBucket(want.PerSecond, want.Burst, now), rates: want}
		a.accounts[name] = c
	}
	if c.rates != want {
		c.rates, c.bucket = want, c.bucket.With(want.PerSecond, want.Burst, now)
	}
	return c
}

func ratesOf(spec resrc.ClientAccount) limit.Rates {
	return limit.Rates{PerSecond: spec.RequestsPerSecond, Burst: float64(spec.Burst), Concurrency: spec.Concurrency}
}

// hint returns a retry hint after the wait, spread over the account's own rate.
func (c *account) hint(now time.Time, wait time.Duration, perSecond float64) time.Duration {
	var after time.Duration
	c.spread, after = c.spread.Next(now, wait, perSecond, rand.Float64())
	return after
}

// wait waits for a ticket to be served.
func (a *admission) wait(ctx context.Context, p *pass, id uint64, ch chan error, patience time.Duration) (*pass, error) {
	late, cancel := a.entry.alarm(patience)
	defer cancel()
	var err error
	select {
	case err = <-ch:
	case <-late:
		err = a.giveUp(p.gate, id, ch, fault.New(fault.Overloaded, "request waited too long"))
	case <-ctx.Done():
		err = a.giveUp(p.gate, id, ch, fault.New(fault.Canceled, "caller gave the request up"))
	}
	now := a.entry.cfg.Timer.Now()
	a.entry.meter.queueTime.Update(now.Sub(p.since).Seconds())
	if err != nil {
		a.mu.Lock()
		p.account.open--
		a.mu.Unlock()
		return nil, a.hint(p.gate, fault.As(err))
	}
	p.since = now
	return p, nil
}

// giveUp takes a ticket out of its queue. A ticket that was served at the
// same moment is used.
func (a *admission) giveUp(g *gate, id uint64, ch chan error, f *fault.Error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !g.Cancel(id) {
		return <-ch
	}
	delete(g.waiters, id)
	return f
}

// overloaded returns the refusal of a full gate.
func (a *admission) overloaded(g *gate, now time.Time) *fault.Error {
	f := fault.New(fault.Overloaded, "estimated wait is longer than the deadline")
	return f.WithRetryAfter(g.RetryAfter(now, rand.Float64()))
}

func (g *gate) wake(id uint64, err error) {
	if ch, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		ch <- err
	}
}

func (g *gate) wakeAll(ids []uint64) {
	for _, id := range ids {
		g.wake(id, nil)
	}
}

// release ends the request.
func (p *pass) release() {
	now := p.admission.entry.cfg.Timer.Now()
	p.admission.mu.Lock()
	defer p.admission.mu.Unlock()
	p.account.open--
	if p.unserved {
		p.gate.wakeAll(p.gate.LeaveUnserved())
		return
	}
	p.gate.wakeAll(p.gate.Leave(now.Sub(p.since)))
}

// firstToken notes when the first token came.
func (p *pass) firstToken(now time.Time) {
	p.admission.mu.Lock()
	defer p.admission.mu.Unlock()
	p.gate.FirstToken(now.Sub(p.since))
	p.unserved = false
}

// targetRefused notes that the targets were too busy.
func (p *pass) targetRefused() {
	p.admission.mu.Lock()
	defer p.admission.mu.Unlock()
	p.gate.TargetRefused()
	p.unserved = true
}

// hint adds a retry hint to a failure without effect.
func (a *admission) hint(g *gate, f *fault.Error) *fault.Error {
	if f.Outcome != fault.NotRun || f.RetryAfter > 0 {
		return f
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return f.WithRetryAfter(g.RetryAfter(a.entry.cfg.Timer.Now(), rand.Float64()))
}

func (a *admission) mayRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	budget, ok := a.budget.Retry(a.entry.cfg.Timer.Now())
	a.budget = budget
	return ok
}

func (a *admission) succeeded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget = a.budget.Succeeded(a.entry.cfg.Timer.Now())
}

func (a *admission) run(ctx context.Context) {
	adapt, stop := a.entry.cfg.Timer.Every(adaptInterval)
	defer stop()
	quota, cancel := a.entry.cfg.Timer.Every(limit.QuotaPeriod / 2)
	defer cancel()
	for {
		select {
		case now := <-adapt:
			a.adapt(now)
		case now := <-quota:
			a.renew(now)
		case <-ctx.Done():
			return
		}
	}
}

// adapt lets the gates of the models follow the measured delay and the room at
// the targets.
func (a *admission) adapt(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for version, g := range a.models {
		// The room comes first, because a raised concurrency releases requests.
		known := a.makeRoom(version, g)
		g.wakeAll(g.Adapt(now))
		if !known && g.InUse() == 0 && g.Waiting() == 0 {
			delete(a.models, version)
		}
	}
}

// makeRoom bounds a gate by what the targets admit. It returns false when the
// configuration does not have the version.
func (a *admission) makeRoom(version string, g *gate) bool {
	v, known := store.Spec[resrc.ModelVersion](a.entry.cfg.Snapshot.Value(), version)
	if free, ok := route.Room(a.entry.view.Value(), version, v.Layers, a.entry.ownCount); ok {
		g.wakeAll(g.SetRoom(free))
	} else {
		g.wakeAll(g.ClearRoom())
	}
	return known
}
