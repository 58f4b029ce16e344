package limit

import (
	"slices"
	"time"
)

const (
	// QuotaPeriod is the time for which an owner lends quota. Within it an
	// entry that was lost keeps its share unused, and a new one has only the
	// fallback.
	QuotaPeriod = time.Second

	// reserve is the part of an equal share that is kept for each entry
	// without a loan, so that its first callers are not refused while the
	// loans of the others last.
	reserve = 0.2
)

type (
	// Rates are the limits of an account, or the part of them that one entry
	// applies.
	Rates struct {
		PerSecond   float64
		Burst       float64
		Concurrency int
	}

	// Lender is the state of an account at its owner entry.
	Lender struct {
		loans map[string]loan
	}

	loan struct {
		wanted  float64
		granted float64
		// until is the time up to which the borrower may use the loan.
		until time.Time
	}
)

// Share returns the part of the limits that one of n entries applies while
// the owner cannot be reached.
func (r Rates) Share(n int) Rates { return r.part(1 / float64(max(n, 1))) }

// Lent returns the part of the limits for a granted rate.
func (r Rates) Lent(perSecond float64) Rates {
	if r.PerSecond <= 0 {
		return r
	}
	return r.part(min(1, perSecond/r.PerSecond))
}

func (r Rates) part(share float64) Rates {
	return Rates{
		PerSecond:   r.PerSecond * share,
		Burst:       max(1, r.Burst*share),
		Concurrency: max(1, int(float64(r.Concurrency)*share)),
	}
}

// Lend returns the rate that a borrower, one of n entries, may use for
// QuotaPeriod: its max-min fair part by the recent demands, but never more than
// what is not lent to others now or kept for entries without a loan. So the
// loans together stay within the limit at any time.
func (l *Lender) Lend(limit Rates, borrower string, wanted float64, n int, now time.Time) float64 {
	if l.loans == nil {
		l.loans = map[string]loan{}
	}
	free := limit.PerSecond
	for name, o := range l.loans {
		switch {
		case now.Sub(o.until) > QuotaPeriod:
			delete(l.loans, name)
		case name != borrower && now.Before(o.until):
			free -= o.granted
		}
	}
	l.loans[borrower] = loan{wanted: wanted}
	n = max(n, len(l.loans))
	free -= reserve * limit.PerSecond / float64(n) * float64(n-len(l.loans))
	granted := max(0, min(l.fair(limit.PerSecond, borrower, n), free))
	l.loans[borrower] = loan{wanted: wanted, granted: granted, until: now.Add(QuotaPeriod)}
	return granted
}

// fair returns the max-min fair part of a borrower, and an equal part of what
// nobody wants, so that a rise of the demand does not wait for the next loan.
// Entries without a loan want nothing yet.
func (l *Lender) fair(rate float64, borrower string, n int) float64 {
	wants := make([]float64, n-len(l.loans), n)
	for _, o := range l.loans {
		wants = append(wants, o.wanted)
	}
	slices.Sort(wants)
	left, own := rate, l.loans[borrower].wanted
	for i, w := range wants {
		part := left / float64(len(wants)-i)
		if w > part {
			// This and all larger demands get the same part.
			return min(own, part)
		}
		left -= w
	}
	return own + left/float64(len(wants))
}
