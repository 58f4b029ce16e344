package lab

import (
	"fmt"
	"math"
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/route"
)

const (
	// accountRate and callRate are in requests per second, accountBurst is in
	// requests.
	accountRate  = 100.0
	accountBurst = 20.0
	// lendPeriod and loanMargin equal the values of package entry.
	lendPeriod        = limit.QuotaPeriod / 2
	loanMargin        = 100 * time.Millisecond
	quotaRun          = 30 * time.Second
	entryLossTime     = 10 * time.Second
	lossDetectionTime = time.Second

	callRate        = 200.0
	outageStart     = 10 * time.Second
	outageLength    = 20 * time.Second
	maxCallAttempts = 3
	// RetryBound is the retry budget: retries relative to successful calls.
	RetryBound = 0.10
)

type (
	// QuotaResult describes how accurately several entries enforce the shared
	// rate limit of one client account.
	QuotaResult struct {
		EntryLost bool
		// Overshoot is the largest number of requests admitted in any second
		// beyond rate plus burst, relative to the rate.
		Overshoot float64
		// Undershoot is the fraction of the demand within the rate that was
		// refused, after the first two seconds.
		Undershoot float64
		// WorstUndershoot is the undershoot of the worst second.
		WorstUndershoot float64
	}

	// RetryResult describes the retries while half of the targets fail.
	RetryResult struct {
		Calls, Retries, Failed int
		// Added is the number of retries in the outage relative to the
		// successes in it and in the ten seconds before.
		Added float64
		// WorstSecond is the largest ratio of retries to calls in any second.
		WorstSecond float64
	}

	// entryQuota is the state of one entry: its share of the limit, and the
	// quota lent to it.
	entryQuota struct {
		name         string
		bucket       limit.Bucket
		rates        limit.Rates
		arrived      int
		granted      float64
		grantedUntil time.Time
		lost         bool
		// lossDetected is the time at which the other entries detect the loss.
		lossDetected time.Time
		lender       limit.Lender
	}
)

// simulateSharedLimit enforces the rate limit of one account at four entries. The
// demand is twice the rate and moves between the entries. If lost is set, the
// entry that lends the quota fails during the run.
func simulateSharedLimit(seed uint64, lost bool) QuotaResult {
	s := newSim(seed)
	all := limit.Rates{PerSecond: accountRate, Burst: accountBurst, Concurrency: 1000}
	var members []*entryQuota
	for i := range 4 {
		m := &entryQuota{name: fmt.Sprint("entry-", i), rates: all.EqualShare(4)}
		m.bucket = limit.NewBucket(m.rates.PerSecond, m.rates.Burst, s.now)
		members = append(members, m)
	}
	linked := func() []*entryQuota {
		var out []*entryQuota
		for _, m := range members {
			if !m.lost || s.now.Before(m.lossDetected) {
				out = append(out, m)
			}
		}
		return out
	}
	owner := func() *entryQuota {
		var names []string
		for _, m := range linked() {
			names = append(names, m.name)
		}
		name := route.Owner("account", names)
		for _, m := range members {
			if m.name == name {
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
				s.after(2*regionDelay, func() { m.granted, m.grantedUntil = granted, s.now.Add(limit.QuotaPeriod-loanMargin) })
			})
		})
	}
	if lost {
		// The loss of the owner has the largest effect, since it lends the quota.
		s.after(entryLossTime, func() {
			o := owner()
			o.lost, o.lossDetected = true, s.now.Add(lossDetectionTime)
		})
	}
	admitted, demand := make([]int, int(quotaRun/time.Second)*10), make([]int, int(quotaRun/time.Second)*10)
	var arrive func()
	arrive = func() {
		defer s.after(s.exponential(time.Duration(float64(time.Second)/(2*accountRate))), arrive)
		// Two thirds of the requests go to one entry, which changes every five
		// seconds; the others go to random entries.
		m := members[int(s.elapsed()/(5*time.Second))%4]
		if s.random.IntN(3) == 0 {
			m = members[s.random.IntN(4)]
		}
		for m.lost {
			m = members[s.random.IntN(4)]
		}
		want := all.EqualShare(len(linked()))
		if s.now.Before(m.grantedUntil) {
			want = all.ForRate(m.granted)
		}
		if m.rates != want {
			m.rates, m.bucket = want, m.bucket.With(want.PerSecond, want.Burst, s.now)
		}
		m.arrived++
		tenth := min(int(s.elapsed()/(100*time.Millisecond)), len(demand)-1)
		demand[tenth]++
		bucket, wait := m.bucket.Take(s.now)
		m.bucket = bucket
		if wait == 0 {
			admitted[tenth]++
		}
	}
	arrive()
	s.run(quotaRun)
	return compareWithLimit(admitted, demand, lost)
}

// compareWithLimit compares the admitted requests of each second with the limit.
// Both slices count requests by tenth of a second.
func compareWithLimit(admitted, demand []int, lost bool) QuotaResult {
	r := QuotaResult{EntryLost: lost}
	shortfall, allowed := 0.0, 0.0
	for i := 0; i+10 <= len(admitted); i++ {
		got, want := 0.0, 0.0
		for j := i; j < i+10; j++ {
			got += float64(admitted[j])
			want += float64(demand[j])
		}
		r.Overshoot = max(r.Overshoot, (got-accountRate-accountBurst)/accountRate)
		// In the first two seconds the lent quotas do not follow the demand yet.
		if i >= 20 && i%10 == 0 {
			admissible := math.Min(want, accountRate)
			shortfall += max(0, admissible-got)
			allowed += admissible
			r.WorstUndershoot = max(r.WorstUndershoot, 1-got/admissible)
		}
	}
	r.Overshoot = max(0, r.Overshoot)
	r.Undershoot = ratio(shortfall, allowed)
	return r
}

// simulateOutage sends retryable calls. During the outage half of the attempts fail.
func simulateOutage(seed uint64) RetryResult {
	s := newSim(seed)
	budget := limit.NewRetryBudget(s.now)
	var (
		r               RetryResult
		successes       int
		calls, retries  [60]int
		inOutage        = func() bool { return s.elapsed() >= outageStart && s.elapsed() < outageStart+outageLength }
		attempt         func(try int)
		arrive          func()
		second          = func() int { return min(int(s.elapsed()/time.Second), len(calls)-1) }
		retriesInOutage int
		beforeOutageEnd = func() bool { return s.elapsed() < outageStart+outageLength }
	)
	attempt = func(try int) {
		if !inOutage() || s.random.IntN(2) == 0 {
			budget = budget.Succeeded(s.now)
			if beforeOutageEnd() {
				successes++
			}
			return
		}
		next, ok := budget.Retry(s.now)
		budget = next
		if !ok || try == maxCallAttempts {
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
