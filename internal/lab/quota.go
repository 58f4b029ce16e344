package lab

import (
	"fmt"
	"math"
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/route"
)

const (
	accountRate  = 100.0
	accountBurst = 20.0
	// lendPeriod and loanMargin are those of the entry.
	lendPeriod = limit.QuotaPeriod / 2
	loanMargin = 100 * time.Millisecond
	quotaRun   = 30 * time.Second
	entryLost  = 10 * time.Second
	linkLost   = time.Second

	callRate     = 200.0
	outageStart  = 10 * time.Second
	outageLength = 20 * time.Second
	callTries    = 3
	// RetryBound is the budget for work added by retries.
	RetryBound = 0.10
)

type (
	// QuotaResult is how well several entries keep the limit of one account.
	QuotaResult struct {
		EntryLost bool
		// Overshoot is the largest excess over rate and burst in any second,
		// relative to the rate.
		Overshoot float64
		// Undershoot is the share of the allowed rate that was refused although
		// there was demand for it, after the first two seconds.
		Undershoot float64
		// WorstUndershoot is that of the worst second.
		WorstUndershoot float64
	}

	// RetryResult is the work that retries add while half of the targets fail.
	RetryResult struct {
		Calls, Retries, Failed int
		// Added is the number of retries in the outage relative to the
		// successes in it and in the ten seconds before.
		Added float64
		// WorstSecond is the largest number of retries in a second relative
		// to the calls in it.
		WorstSecond float64
	}

	// member is the quota state of one entry.
	member struct {
		name    string
		bucket  limit.Bucket
		rates   limit.Rates
		arrived int
		granted float64
		until   time.Time
		lost    bool
		// lostAt is when the others notice that the entry is gone.
		lostAt time.Time
		lender limit.Lender
	}
)

// sharedLimit applies one account's limit at four entries. The demand is twice
// the rate and moves between the entries.
func sharedLimit(seed uint64, lost bool) QuotaResult {
	s := newSim(seed)
	all := limit.Rates{PerSecond: accountRate, Burst: accountBurst, Concurrency: 1000}
	var members []*member
	for i := range 4 {
		m := &member{name: fmt.Sprint("entry-", i), rates: all.EqualShare(4)}
		m.bucket = limit.NewBucket(m.rates.PerSecond, m.rates.Burst, s.now)
		members = append(members, m)
	}
	linked := func() []*member {
		var out []*member
		for _, m := range members {
			if !m.lost || s.now.Before(m.lostAt) {
				out = append(out, m)
			}
		}
		return out
	}
	owner := func() *member {
		var names []string
		for _, m := range linked() {
			names = append(names, m.name)
		}
		first := route.Owner("account", names)
		for _, m := range members {
			if m.name == first {
				return m
			}
		}
		return nil
	}
	for i, m := range members {
		s.after(time.Duration(i)*lendPeriod/4, func() {
			s.every(lendPeriod, func() {
				o := owner()
				wanted := float64(m.arrived) / lendPeriod.Seconds()
				m.arrived = 0
				if m.lost || o.lost {
					return
				}
				granted := o.lender.Lend(all, m.name, wanted, len(linked()), s.now)
				s.after(2*regionDelay, func() { m.granted, m.until = granted, s.now.Add(limit.QuotaPeriod-loanMargin) })
			})
		})
	}
	if lost {
		// The owner is the worst entry to lose.
		s.after(entryLost, func() {
			o := owner()
			o.lost, o.lostAt = true, s.now.Add(linkLost)
		})
	}
	admitted, demand := make([]int, int(quotaRun/time.Second)*10), make([]int, int(quotaRun/time.Second)*10)
	var arrive func()
	arrive = func() {
		defer s.after(s.exponential(time.Duration(float64(time.Second)/(2*accountRate))), arrive)
		// Most requests go to one entry, another one every five seconds.
		m := members[int(s.since()/(5*time.Second))%4]
		if s.random.IntN(3) == 0 {
			m = members[s.random.IntN(4)]
		}
		for m.lost {
			m = members[s.random.IntN(4)]
		}
		want := all.EqualShare(len(linked()))
		if s.now.Before(m.until) {
			want = all.ForRate(m.granted)
		}
		if m.rates != want {
			m.rates, m.bucket = want, m.bucket.With(want.PerSecond, want.Burst, s.now)
		}
		m.arrived++
		tenth := min(int(s.since()/(100*time.Millisecond)), len(demand)-1)
		demand[tenth]++
		bucket, wait := m.bucket.Take(s.now)
		m.bucket = bucket
		if wait == 0 {
			admitted[tenth]++
		}
	}
	arrive()
	s.run(quotaRun)
	return shoot(admitted, demand, lost)
}

// shoot compares the admitted requests of each second with the limit.
func shoot(admitted, demand []int, lost bool) QuotaResult {
	r := QuotaResult{EntryLost: lost}
	short, allowed := 0.0, 0.0
	for i := 0; i+10 <= len(admitted); i++ {
		got, want := 0.0, 0.0
		for j := i; j < i+10; j++ {
			got += float64(admitted[j])
			want += float64(demand[j])
		}
		r.Overshoot = max(r.Overshoot, (got-accountRate-accountBurst)/accountRate)
		// After the first two seconds the loans follow the demand.
		if i >= 20 && i%10 == 0 {
			could := math.Min(want, accountRate)
			short += max(0, could-got)
			allowed += could
			r.WorstUndershoot = max(r.WorstUndershoot, 1-got/could)
		}
	}
	r.Overshoot = max(0, r.Overshoot)
	r.Undershoot = ratio(short, allowed)
	return r
}

// outage sends repeatable calls while half of the targets fail.
func outage(seed uint64) RetryResult {
	s := newSim(seed)
	budget := limit.NewRetryBudget(s.now)
	var (
		r                RetryResult
		successes        int
		calls, retries   [60]int
		inOutage         = func() bool { return s.since() >= outageStart && s.since() < outageStart+outageLength }
		attempt          func(try int)
		arrive           func()
		second           = func() int { return min(int(s.since()/time.Second), len(calls)-1) }
		retriesInOutage  int
		recentSuccessful = func() bool { return s.since() < outageStart+outageLength }
	)
	attempt = func(try int) {
		if !inOutage() || s.random.IntN(2) == 0 {
			budget = budget.Succeeded(s.now)
			if recentSuccessful() {
				successes++
			}
			return
		}
		next, ok := budget.Retry(s.now)
		budget = next
		if !ok || try == callTries {
			r.Failed++
			return
		}
		r.Retries++
		retriesInOutage++
		retries[second()]++
		s.after(50*time.Millisecond, func() { attempt(try + 1) })
	}
	arrive = func() {
		r.Calls++
		calls[second()]++
		attempt(1)
		s.after(s.exponential(time.Duration(float64(time.Second)/callRate)), arrive)
	}
	arrive()
	s.run(outageStart + outageLength + 10*time.Second)
	r.Added = ratio(float64(retriesInOutage), float64(successes))
	for i := range calls {
		r.WorstSecond = max(r.WorstSecond, ratio(float64(retries[i]), float64(calls[i])))
	}
	return r
}
