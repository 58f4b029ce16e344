package limit

import (
	"slices"
	"time"
)

const (
	// QuotaPeriod is the duration of a loan of quota. Until it has passed, the
	// share of a failed entry stays unused, and a new entry has only the
	// fallback of Rates.EqualShare.
	QuotaPeriod = time.Second

	// reservedShare is the part of an equal share that is reserved for each
	// entry without a loan, so that its first callers are not refused before
	// the loans of the others expire.
	reservedShare = 0.2
)

type (
	// Rates are the limits of a client account, or the part of them that one
	// entry enforces.
	Rates struct {
		PerSecond   float64
		Burst       float64
		Concurrency int
	}

	// Lender lends the request rate of one client account to the entries. It
	// runs at the entry that owns the account.
	Lender struct {
		loans map[string]loan
	}

	loan struct {
		// demand and granted are in requests per second.
		demand  float64
		granted float64
		// expires is when the borrower must stop using the loan.
		expires time.Time
	}
)

// EqualShare returns the part of the limits that each of n entries enforces
// while the owner cannot be reached.
func (r Rates) EqualShare(n int) Rates { return r.scaled(1 / float64(max(n, 1))) }

// ForRate returns the limits scaled to a granted rate.
func (r Rates) ForRate(perSecond float64) Rates {
	if r.PerSecond <= 0 {
		return r
	}
	return r.scaled(min(1, perSecond/r.PerSecond))
}

func (r Rates) scaled(share float64) Rates {
	return Rates{
		PerSecond:   r.PerSecond * share,
		Burst:       max(1, r.Burst*share),
		Concurrency: max(1, int(float64(r.Concurrency)*share)),
	}
}

// Lend returns the rate that a borrower, one of n entries, may use for
// QuotaPeriod. It is the max-min fair share by the last known demands, capped at
// what is neither lent to others nor reserved for entries without a loan. The sum
// of all loans therefore never exceeds the limit.
func (l *Lender) Lend(limit Rates, borrower string, demand float64, n int, now time.Time) float64 {
	if l.loans == nil {
		l.loans = map[string]loan{}
	}
	free := limit.PerSecond
	for name, other := range l.loans {
		switch {
		case now.Sub(other.expires) > QuotaPeriod:
			delete(l.loans, name)
		case name != borrower && now.Before(other.expires):
			free -= other.granted
		}
	}
	l.loans[borrower] = loan{demand: demand}
	n = max(n, len(l.loans))
	free -= reservedShare * limit.PerSecond / float64(n) * float64(n-len(l.loans))
	granted := max(0, min(l.fairShare(limit.PerSecond, borrower, n), free))
	l.loans[borrower] = loan{demand: demand, granted: granted, expires: now.Add(QuotaPeriod)}
	return granted
}

// fairShare returns the max-min fair share of a borrower plus an equal part of
// the rate that exceeds all demands, so that a rise in demand can be served
// before the next loan. Entries without a loan count with a demand of 0.
func (l *Lender) fairShare(rate float64, borrower string, n int) float64 {
	demands := make([]float64, n-len(l.loans), n)
	for _, other := range l.loans {
		demands = append(demands, other.demand)
	}
	slices.Sort(demands)
	left, own := rate, l.loans[borrower].demand
	for i, demand := range demands {
		share := left / float64(len(demands)-i)
		if demand > share {
			// This demand and all larger ones get the same share.
			return min(own, share)
		}
		left -= demand
	}
	return own + left/float64(len(demands))
}
