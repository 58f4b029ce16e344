package lab

import (
	"time"

	"shallotcourse/internal/route"
)

const (
	// saturatingLoad and moderateLoad are request rates relative to the maximum.
	saturatingLoad = 1.3
	moderateLoad   = 0.8
	warmUp         = 5 * time.Second
	measuredTime   = 15 * time.Second
	// burstSeconds is the number of returning callers divided by the maximum
	// request rate.
	burstSeconds  = 12.0
	goodputWindow = 500 * time.Millisecond
)

type (
	// PolicyReport holds the results of all emulated scenarios for one seed.
	PolicyReport struct {
		Seed     uint64
		Settings Settings
		// Bound is the maximum rate that the engines can serve, in requests per
		// second.
		Bound      float64
		Saturation []LoadResult
		Moderate   []LoadResult
		Return     []ReturnResult
		Quota      []QuotaResult
		Retries    RetryResult
	}

	// LoadResult describes a policy under a constant request rate. FirstToken
	// and BetweenTokens are 95th percentiles.
	LoadResult struct {
		Policy string
		// ThroughputShare is the token rate relative to the maximum.
		ThroughputShare float64
		FirstToken      time.Duration
		BetweenTokens   time.Duration
		// RefusedShare is the fraction of attempts that were refused.
		RefusedShare float64
		WastedShare  float64
	}

	// ReturnResult describes a policy when all callers return within one
	// second. FirstToken and BetweenTokens are 95th percentiles.
	ReturnResult struct {
		Policy string
		// Goodput is the token rate in each half second, relative to the
		// maximum.
		Goodput []float64
		// Recovery is the time to 95% of the maximum rate, OwnRecovery that to
		// 95% of the policy's own mean rate between seconds 5 and 10. Negative:
		// never reached.
		Recovery, OwnRecovery time.Duration
		FirstToken            time.Duration
		BetweenTokens         time.Duration
		// WastedShare is the fraction of engine work done for answers that were
		// not completed.
		WastedShare float64
		// Jain is Jain's fairness index of the answers per weight of the
		// accounts in the first ten seconds, while all of them have callers
		// waiting.
		Jain float64
		// LargeShare and SmallShare are the fractions of the requests of large
		// and small accounts that are answered in these ten seconds.
		LargeShare, SmallShare float64
		// Hints counts the retry hints of refused callers. HintLow and HintHigh
		// are the 5th and 95th percentile.
		Hints                         int
		HintLow, HintMedian, HintHigh time.Duration
		// HintPeak is the largest number of hints that fall into one tenth of a
		// second, relative to the mean.
		HintPeak float64
	}
)

// policyScenarios returns a scenario for the policy in use, and one for each
// baseline.
func policyScenarios(seed uint64, settings Settings) []scenario {
	cheapest := func() route.Policy { return route.Cheapest{} }
	base := scenario{newPolicy: cheapest, refuseEarly: true, seed: seed, settings: settings, firstTokenTimeout: 3 * time.Second}
	out := []scenario{base, base, base, base}
	out[0].name = "cheapest"
	out[1].name, out[1].newPolicy = "round robin", func() route.Policy { return &route.RoundRobin{} }
	out[2].name, out[2].newPolicy = "least loaded", func() route.Policy { return route.LeastLoaded{} }
	out[3].name, out[3].refuseEarly = "no early refusal", false
	return out
}

// Policy emulates all scenarios with one seed.
func Policy(seed uint64, settings Settings) PolicyReport {
	scenarios := policyScenarios(seed, settings)
	r := PolicyReport{Seed: seed, Settings: settings, Bound: newCluster(scenarios[0]).maxRequestRate()}
	for _, p := range scenarios {
		r.Saturation = append(r.Saturation, steadyLoad(p, saturatingLoad))
		r.Moderate = append(r.Moderate, steadyLoad(p, moderateLoad))
		r.Return = append(r.Return, returnBurst(p))
	}
	for _, lost := range []bool{false, true} {
		r.Quota = append(r.Quota, simulateSharedLimit(seed, lost))
	}
	r.Retries = simulateOutage(seed)
	return r
}

// steadyLoad sends requests at a constant mean rate, given relative to the maximum,
// and measures after the warm-up.
func steadyLoad(p scenario, load float64) LoadResult {
	w := newCluster(p)
	rate := w.maxRequestRate() * load
	var arrive func()
	arrive = func() {
		w.newCaller().arrive()
		w.after(w.exponential(time.Duration(float64(time.Second)/rate)), arrive)
	}
	arrive()
	w.run(warmUp)
	w.result = counters{}
	w.run(warmUp + measuredTime)
	t := w.result
	return LoadResult{
		Policy:          p.name,
		ThroughputShare: float64(t.tokens) / measuredTime.Seconds() / (w.maxRequestRate() * meanAnswer),
		FirstToken:      percentile(t.first, 0.95), BetweenTokens: percentile(t.gaps, 0.95),
		RefusedShare: ratio(float64(t.refused), float64(t.attempts)),
		WastedShare:  ratio(t.wasted, t.work),
	}
}

// returnBurst lets all callers arrive within one second. Each retries until it has
// its answer.
func returnBurst(p scenario) ReturnResult {
	p.retry = true
	w := newCluster(p)
	for range int(w.maxRequestRate() * burstSeconds) {
		c := w.newCaller()
		w.after(time.Duration(w.demandRandom.Float64()*float64(time.Second)), c.arrive)
	}
	w.run(10 * time.Second)
	r := ReturnResult{Policy: p.name}
	r.Jain, r.LargeShare, r.SmallShare = w.fairness()
	w.run(25 * time.Second)
	t := w.result
	r.FirstToken, r.BetweenTokens = percentile(t.first, 0.95), percentile(t.gaps, 0.95)
	r.WastedShare = ratio(t.wasted, t.work)
	r.Goodput = goodput(t.byTenth, w.maxRequestRate()*meanAnswer)
	ownRate := 0.0
	for _, g := range r.Goodput[min(10, len(r.Goodput)):min(20, len(r.Goodput))] {
		ownRate += g / 10
	}
	r.Recovery, r.OwnRecovery = timeToReach(r.Goodput, 0.95), timeToReach(r.Goodput, 0.95*ownRate)
	r.Hints = len(t.hints)
	r.HintLow, r.HintMedian, r.HintHigh = percentile(t.hints, 0.05), percentile(t.hints, 0.5), percentile(t.hints, 0.95)
	r.HintPeak = hintPeak(t.hints)
	return r
}

// goodput returns the token rate of each window relative to tokensPerSecond.
func goodput(byTenth []int, tokensPerSecond float64) []float64 {
	const tenths = int(goodputWindow / (100 * time.Millisecond))
	var out []float64
	for i := 0; i+tenths <= len(byTenth); i += tenths {
		sum := 0
		for _, n := range byTenth[i : i+tenths] {
			sum += n
		}
		out = append(out, float64(sum)/goodputWindow.Seconds()/tokensPerSecond)
	}
	return out
}

// timeToReach returns the end of the first window with at least the given rate, or
// -1 if there is none.
func timeToReach(rates []float64, level float64) time.Duration {
	for i, g := range rates {
		if g >= level {
			return time.Duration(i+1) * goodputWindow
		}
	}
	return -1
}

// fairness returns Jain's index of the answers per weight of the accounts, and the
// fractions of answered requests of large and small accounts.
func (w *cluster) fairness() (index, large, small float64) {
	var (
		parts        []float64
		done, wanted [2]float64
	)
	for _, a := range w.accounts {
		parts = append(parts, float64(a.answered)/float64(a.weight))
		size := 0
		if a.weight > 1 {
			size = 1
		}
		done[size] += float64(a.answered)
		wanted[size] += float64(a.requested)
	}
	return jain(parts), ratio(done[1], wanted[1]), ratio(done[0], wanted[0])
}

// hintPeak returns the largest number of hints in a tenth of a second, relative to
// the mean up to the longest hint.
func hintPeak(hints []time.Duration) float64 {
	if len(hints) == 0 {
		return 0
	}
	counts := map[time.Duration]int{}
	longest, most := time.Duration(0), 0
	for _, h := range hints {
		slot := h / (100 * time.Millisecond)
		longest = max(longest, slot)
		counts[slot]++
		most = max(most, counts[slot])
	}
	return float64(most) * float64(longest+1) / float64(len(hints))
}
