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
	// adaptInterval is the time between adjustments of the model gates.
	adaptInterval = 100 * time.Millisecond
	// minConcurrency is the least concurrency of a model gate. It keeps enough
	// requests running to go on measuring the delay.
	minConcurrency = 16
	// minConcurrencyRetryAfter is the least retry hint for an account with too
	// many open requests: one of them has to end first.
	minConcurrencyRetryAfter = 100 * time.Millisecond
)

type (
	// admission applies the limits of client accounts and the gates that bound
	// dispatched requests. Its lock is taken a few times per request, never per
	// token.
	admission struct {
		entry *Entry
		mu    sync.Mutex
		// models holds the gate of each model version. Services have a gate of
		// their own, since they share no targets with models.
		models   map[string]*gate
		services *gate
		accounts map[string]*accountState
		lenders  map[string]*limit.Lender
		budget   limit.RetryBudget
	}

	// gate is a limit.Gate with the goroutines that wait at it; guarded by
	// admission.mu.
	gate struct {
		*limit.Gate
		// waiters holds a channel for each waiting ticket. It receives nil when
		// the request may proceed, or the reason for its refusal.
		waiters map[uint64]chan error
	}

	// accountState is the state of a client account at this entry; guarded by
	// admission.mu.
	accountState struct {
		bucket       limit.Bucket
		rates        limit.Rates
		openRequests int
		hints        limit.RetryHints
		// arrivals counts the requests since the last request for quota.
		arrivals int
		// borrowedRate is the rate lent to this entry, valid until
		// borrowedUntil.
		borrowedRate  float64
		borrowedUntil time.Time
		lastUsed      time.Time
	}

	// admittedRequest is a request that counts against its account and its gate
	// until release.
	admittedRequest struct {
		admission *admission
		gate      *gate
		account   *accountState
		// phaseStart is the time at which the request arrived at the gate or,
		// once it has been dispatched, the time of its dispatch.
		phaseStart time.Time
		// refusedByTarget is true after targets refused the request, until its
		// first token.
		refusedByTarget bool
	}
)

func newAdmission(e *Entry) *admission {
	b, now := e.bounds, e.cfg.Timer.Now()
	services := limit.Bounds{Queue: b.Queue, Start: b.Concurrency, Min: b.Concurrency, Max: b.Concurrency}
	return &admission{
		entry: e, models: map[string]*gate{}, services: newGate(services), accounts: map[string]*accountState{},
		lenders: map[string]*limit.Lender{}, budget: limit.NewRetryBudget(now),
	}
}

func newGate(b limit.Bounds) *gate {
	return &gate{Gate: limit.NewGate(b), waiters: map[uint64]chan error{}}
}

// modelGate returns the gate of a model version.
func (a *admission) modelGate(version string) *gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.models[version]
	if !ok {
		b := a.entry.bounds
		g = newGate(limit.Bounds{
			Queue: b.Queue, Start: b.Concurrency, Min: min(minConcurrency, b.Concurrency), Max: 4 * b.Concurrency,
			Target: b.FirstToken,
		})
		a.updateCapacity(version, g)
		a.models[version] = g
	}
	return g
}

// admit waits until a request of the account may proceed through the gate. Its
// failures have the outcome NotRun.
func (a *admission) admit(ctx context.Context, name string, g *gate, deadline time.Duration) (*admittedRequest, error) {
	if a.entry.draining.Load() {
		// The body has taken until now, and the process may end before an answer.
		return nil, errDraining
	}
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
	r := &admittedRequest{admission: a, gate: g, account: c, phaseStart: now}
	d := g.Enter(name, spec.Weight, deadline, now)
	if d.Evicted != 0 {
		g.wake(d.Evicted, a.overloaded(g, now))
	}
	if d.Refused {
		err := a.overloaded(g, now)
		c.openRequests--
		c.bucket = c.bucket.Refund()
		a.mu.Unlock()
		return nil, err
	}
	if d.Admitted {
		a.mu.Unlock()
		return r, nil
	}
	ch := make(chan error, 1)
	g.waiters[d.ID] = ch
	maxWait := g.MaxWait(deadline)
	a.mu.Unlock()
	return a.wait(ctx, r, d.ID, ch, maxWait)
}

// charge counts the request against the account's concurrency and rate limits,
// or refuses it.
func (a *admission) charge(name string, spec resrc.ClientAccount, g *gate, now time.Time) (*accountState, error) {
	c := a.accountState(name, spec, now)
	c.arrivals++
	c.lastUsed = now
	if c.openRequests >= c.rates.Concurrency {
		f := fault.New(fault.LimitReached, "account has reached its limit of open requests")
		return nil, f.WithRetryAfter(c.retryHint(now, minConcurrencyRetryAfter, min(c.rates.PerSecond, g.DrainPerSecond())))
	}
	bucket, wait := c.bucket.Take(now)
	c.bucket = bucket
	if wait > 0 {
		f := fault.New(fault.LimitReached, "account is over its rate")
		return nil, f.WithRetryAfter(c.retryHint(now, wait, c.rates.PerSecond))
	}
	c.openRequests++
	return c, nil
}

// accountState returns the state of an account, with the limits that apply at
// the moment: its share of the account's limits, or the lent quota.
func (a *admission) accountState(name string, spec resrc.ClientAccount, now time.Time) *accountState {
	all := ratesOf(spec)
	c, ok := a.accounts[name]
	want := all.EqualShare(a.entry.entryCount())
	if ok && now.Before(c.borrowedUntil) {
		want = all.ForRate(c.borrowedRate)
	}
	if !ok {
		c = &accountState{bucket: limit.NewBucket(want.PerSecond, want.Burst, now), rates: want}
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

// retryHint returns a retry hint of at least wait, and spreads successive hints
// at the given rate.
func (c *accountState) retryHint(now time.Time, wait time.Duration, perSecond float64) time.Duration {
	var after time.Duration
	c.hints, after = c.hints.Next(now, wait, perSecond, rand.Float64())
	return after
}

// wait waits until a ticket may proceed, for at most maxWait.
func (a *admission) wait(ctx context.Context, r *admittedRequest, id uint64, ch chan error, maxWait time.Duration) (*admittedRequest, error) {
	expired, cancel := a.entry.timeout(maxWait)
	defer cancel()
	var err error
	select {
	case err = <-ch:
	case <-expired:
		err = a.cancelWait(r.gate, id, ch, fault.New(fault.Overloaded, "request was not dispatched within its maximum queueing time"))
	case <-ctx.Done():
		err = a.cancelWait(r.gate, id, ch, fault.New(fault.Canceled, "caller closed the request"))
	}
	now := a.entry.cfg.Timer.Now()
	a.entry.metrics.queueTime.Update(now.Sub(r.phaseStart).Seconds())
	if err != nil {
		a.mu.Lock()
		r.account.openRequests--
		a.mu.Unlock()
		return nil, a.withRetryHint(r.gate, fault.As(err))
	}
	r.phaseStart = now
	return r, nil
}

// cancelWait removes a ticket from its queue and returns f. If the gate
// has admitted or refused it in the meantime, that result is returned instead.
func (a *admission) cancelWait(g *gate, id uint64, ch chan error, f *fault.Error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !g.Cancel(id) {
		return <-ch
	}
	delete(g.waiters, id)
	return f
}

// overloaded returns the refusal of a request at a full gate.
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

// release ends the request and lets waiting ones proceed.
func (r *admittedRequest) release() {
	now := r.admission.entry.cfg.Timer.Now()
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	r.account.openRequests--
	if r.refusedByTarget {
		r.gate.wakeAll(r.gate.LeaveUnserved())
		return
	}
	r.gate.wakeAll(r.gate.Leave(now.Sub(r.phaseStart)))
}

// recordFirstToken records the time from dispatch to the first token.
func (r *admittedRequest) recordFirstToken(now time.Time) {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	r.gate.FirstToken(now.Sub(r.phaseStart))
	r.refusedByTarget = false
}

// recordTargetRefusal records that the targets were too busy for the request.
func (r *admittedRequest) recordTargetRefusal() {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	r.gate.TargetRefused()
	r.refusedByTarget = true
}

// withRetryHint adds a retry hint to a failure with the outcome NotRun that has
// none.
func (a *admission) withRetryHint(g *gate, f *fault.Error) *fault.Error {
	if f.Outcome != fault.NotRun || f.RetryAfter > 0 {
		return f
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return f.WithRetryAfter(g.RetryAfter(a.entry.cfg.Timer.Now(), rand.Float64()))
}

// takeRetry takes a retry from the retry budget. It returns false if none is
// left.
func (a *admission) takeRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	budget, ok := a.budget.Retry(a.entry.cfg.Timer.Now())
	a.budget = budget
	return ok
}

// recordSuccess adds a successful call to the retry budget.
func (a *admission) recordSuccess() {
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
			a.adaptGates(now)
		case now := <-quota:
			a.renewQuota(now)
		case <-ctx.Done():
			return
		}
	}
}

// adaptGates adjusts the gates of the models to the measured delay and the free
// capacity of the targets, and removes idle gates of versions that are no
// longer configured.
func (a *admission) adaptGates(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for version, g := range a.models {
		// Capacity is updated first, because a raised concurrency admits
		// requests.
		known := a.updateCapacity(version, g)
		g.wakeAll(g.Adapt(now))
		if !known && g.InUse() == 0 && g.Waiting() == 0 {
			delete(a.models, version)
		}
	}
}

// updateCapacity limits a gate to the free capacity of the targets. It returns
// false if the version is not configured.
func (a *admission) updateCapacity(version string, g *gate) bool {
	v, known := store.Spec[resrc.ModelVersion](a.entry.cfg.Snapshot.Value(), version)
	if free, ok := route.FreeCapacity(a.entry.view.Value(), version, v.Layers, a.entry.openCount); ok {
		g.wakeAll(g.SetFreeCapacity(free))
	} else {
		g.wakeAll(g.ClearFreeCapacity())
	}
	return known
}
