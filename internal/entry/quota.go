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
	// accountIdleTimeout is the time after which the state of an unused account
	// is removed.
	accountIdleTimeout = time.Minute
	// loanMargin shortens a loan at the borrower, so that it ends before the
	// loan at the owner, which started earlier.
	loanMargin = 100 * time.Millisecond
)

// renewQuota requests quota for the accounts in use from their owners. An
// account whose owner does not answer falls back to its limits divided by the
// number of entries.
//
// Entries that are not linked to each other may determine different owners of
// an account, which would lend the same quota twice. So no quota is requested
// or lent unless all entries are linked.
func (a *admission) renewQuota(now time.Time) {
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
			a.borrow(name, a.lend(name, spec, owner, wanted, now), now)
			continue
		}
		if p, ok := a.entry.entryLink(owner); ok {
			_ = p.Send(wire.QuotaRequest{Account: name, Wanted: wanted})
		}
	}
}

// demands returns the request rates of the accounts in use, per second, and
// removes the accounts that have not been used for accountIdleTimeout.
func (a *admission) demands(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for name, c := range a.accounts {
		if c.openRequests == 0 && now.Sub(c.lastUsed) > accountIdleTimeout {
			delete(a.accounts, name)
			continue
		}
		if c.arrivals == 0 && now.Sub(c.lastUsed) > limit.QuotaPeriod {
			continue
		}
		out[name] = float64(c.arrivals) / (limit.QuotaPeriod / 2).Seconds()
		c.arrivals = 0
	}
	return out
}

// lend lends a part of an account's rate to a borrower and returns it.
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

// borrow applies the quota that the owner of an account has lent to this entry.
func (a *admission) borrow(name string, granted float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.accounts[name]; ok {
		c.borrowedRate, c.borrowedUntil = granted, now.Add(limit.QuotaPeriod-loanMargin)
	}
}

// handleQuotaRequest lends quota to another entry. Requests for an account that
// this entry does not own are not answered: two owners would lend the same
// quota twice.
func (a *admission) handleQuotaRequest(p link.Peer, m wire.QuotaRequest) {
	spec, ok := store.Spec[resrc.ClientAccount](a.entry.cfg.Snapshot.Value(), m.Account)
	if !ok || !a.entry.linksAllEntries() || route.Owner(m.Account, a.entry.entryNames()) != a.entry.cfg.Instance || !(m.Wanted >= 0) {
		return
	}
	granted := a.lend(m.Account, spec, p.Hello().Instance, m.Wanted, a.entry.cfg.Timer.Now())
	_ = p.Send(wire.QuotaGrant{Account: m.Account, Granted: granted})
}

func (a *admission) handleQuotaGrant(m wire.QuotaGrant) {
	a.borrow(m.Account, m.Granted, a.entry.cfg.Timer.Now())
}

// entryLink returns the link to another entry, if it is up.
func (e *Entry) entryLink(instance string) (link.Peer, bool) {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	p, ok := e.peers.entries[instance]
	return p, ok
}

// entryNames returns the instance names of this entry and of the entries linked
// to it.
func (e *Entry) entryNames() []string {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	names := []string{e.cfg.Instance}
	for name := range e.peers.entries {
		names = append(names, name)
	}
	return names
}
