package entry

import (
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/route"
	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// forgetAccount is the time after which an unused account is forgotten.
	forgetAccount = time.Minute
	// loanMargin is kept between the end of a loan here and at its owner,
	// which counts from an earlier moment.
	loanMargin = 100 * time.Millisecond
)

// renew asks the owners of the accounts in use for quota. An account whose
// owner does not answer falls back to the limit divided by the entries.
//
// Entries that don't see each other would choose different owners, which
// would lend the same quota twice. So nothing is lent unless all are linked.
func (a *admission) renew(now time.Time) {
	demands := a.demands(now)
	if !a.entry.linksAllEntries() {
		return
	}
	names := a.entry.entryNames()
	snap := a.entry.cfg.Snapshot.Value()
	for name, wanted := range demands {
		spec, ok := store.Spec[resrc.ClientAccount](snap, name)
		if !ok {
			continue
		}
		owner := route.Owner(name, names)
		if owner == a.entry.cfg.Instance {
			a.lent(name, a.lend(name, spec, owner, wanted, now), now)
			continue
		}
		if p, ok := a.entry.peerEntry(owner); ok {
			_ = p.Send(wire.QuotaRequest{Account: name, Wanted: wanted})
		}
	}
}

// demands returns the requests per second of the accounts in use, and forgets
// accounts that are not.
func (a *admission) demands(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for name, c := range a.accounts {
		if c.open == 0 && now.Sub(c.used) > forgetAccount {
			delete(a.accounts, name)
			continue
		}
		if c.arrived == 0 && now.Sub(c.used) > limit.QuotaPeriod {
			continue
		}
		out[name] = float64(c.arrived) / (limit.QuotaPeriod / 2).Seconds()
		c.arrived = 0
	}
	return out
}

func (a *admission) lend(name string, spec resrc.ClientAccount, borrower string, wanted float64, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.lenders[name]
	if !ok {
		l = &limit.Lender{}
		a.lenders[name] = l
	}
	return l.Lend(ratesOf(spec), borrower, wanted, a.entry.entryCount(), now)
}

func (a *admission) lent(name string, granted float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.accounts[name]; ok {
		c.granted, c.lentUntil = granted, now.Add(limit.QuotaPeriod-loanMargin)
	}
}

// quotaRequest lends quota to another entry. A request for an account that
// this entry does not own stays without an answer: two owners would lend the
// same quota twice.
func (a *admission) quotaRequest(p link.Peer, m wire.QuotaRequest) {
	spec, ok := store.Spec[resrc.ClientAccount](a.entry.cfg.Snapshot.Value(), m.Account)
	if !ok || !a.entry.linksAllEntries() || route.Owner(m.Account, a.entry.entryNames()) != a.entry.cfg.Instance || !(m.Wanted >= 0) {
		return
	}
	granted := a.lend(m.Account, spec, p.Hello().Instance, m.Wanted, a.entry.cfg.Timer.Now())
	_ = p.Send(wire.QuotaGrant{Account: m.Account, Granted: granted})
}

func (a *admission) quotaGrant(m wire.QuotaGrant) {
	a.lent(m.Account, m.Granted, a.entry.cfg.Timer.Now())
}

// peerEntry returns the link to another entry.
func (e *Entry) peerEntry(instance string) (link.Peer, bool) {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	p, ok := e.peers.entries[instance]
	return p, ok
}

// entryNames returns this entry and the entries linked to it.
func (e *Entry) entryNames() []string {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	names := []string{e.cfg.Instance}
	for name := range e.peers.entries {
		names = append(names, name)
	}
	return names
}
