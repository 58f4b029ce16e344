package lab

import (
	"time"

	"shallotcourse/internal/route"
)

const (
	saturation = 1.3
	moderate   = 0.8
	warmUp     = 5 * time.Second
	measured   = 15 * time.Second
	// returnLoad is the work of the returning callers in seconds of the bound.
	returnLoad = 12.0
	window     = 500 * time.Millisecond
)

type (
	// PolicyReport holds all results of the emulator for one seed.
	PolicyReport struct {
		Seed     uint64
		Settings Settings
		// Bound is in requests per second.
		Bound      float64
		Saturation []LoadResult
		Moderate   []LoadResult
		Return     []ReturnResult
		Quota      []QuotaResult
		Retries    RetryResult
	}

	// LoadResult is the behaviour of a policy under a steady load.
	LoadResult struct {
		Policy string
		// ThroughputShare is the rate of tokens relative to the bound.
		ThroughputShare float64
		FirstToken      time.Duration
		BetweenTokens   time.Duration
		// RefusedShare is the share of tries that were refused.
		RefusedShare float64
		WastedShare  float64
	}

	// ReturnResult is the behaviour after all callers return in one second.
	ReturnResult struct {
		Policy string
		// Goodput is the rate of tokens in each half second, relative to the
		// bound.
		Goodput []float64
		// Recovery is the time to 95% of the bound, and to 95% of the rate
		// that the policy reaches between seconds 5 and 10; negative: never.
		Recovery, OwnRecovery time.Duration
		FirstToken            time.Duration
		BetweenTokens         time.Duration
		// WastedShare is the share of work thrown away after it began.
		WastedShare float64
		// Jain is the fairness of answers per weight between accounts in the
		// first ten seconds, while all of them have callers waiting.
		Jain float64
		// LargeShare and SmallShare are the shares of the demand answered then.
		LargeShare, SmallShare float64
		// Hints of refused callers.
		Hints                         int
		HintLow, HintMedian, HintHigh time.Duration
		// HintPeak is the largest number of hints that end in one tenth of a
		// second, relative to the mean.
		HintPeak float64
	}
)

// policies lists the policy in use and the baselines.
func policies(seed uint64, settings Settings) []plan {
	cheapest := func() route.Policy { return route.Cheapest{} }
	base := plan{policy: cheapest, refuse: true, seed: seed, settings: settings, patience: 3 * time.Second}
	out := []plan{base, base, base, base}
	out[0].name = "cheapest"
	out[1].name, out[1].policy = "round robin", func() route.Policy { return &route.RoundRobin{} }
	out[2].name, out[2].policy = "least loaded", func() route.Policy { return route.LeastLoaded{} }
	out[3].name, out[3].refuse = "no early refusal", false
	return out
}

// Policy runs all scenarios with a seed.
func Policy(seed uint64, settings Settings) PolicyReport {
	plans := policies(seed, settings)
	r := PolicyReport{Seed: seed, Settings: settings, Bound: newWorld(plans[0]).bound()}
	for _, p := range plans {
		r.Saturation = append(r.Saturation, steady(p, saturation))
		r.Moderate = append(r.Moderate, steady(p, moderate))
		r.Return = append(r.Return, comeBack(p))
	}
	for _, lost := range []bool{false, true} {
		r.Quota = append(r.Quota, sharedLimit(seed, lost))
	}
	r.Retries = outage(seed)
	return r
}

// steady applies an open load for a while and measures its second part.
func steady(p plan, load float64) LoadResult {
	w := newWorld(p)
	rate := w.bound() * load
	var arrive func()
	arrive = func() {
		w.caller().arrive()
		w.after(w.exponential(time.Duration(float64(time.Second)/rate)), arrive)
	}
	arrive()
	w.run(warmUp)
	w.result = tally{}
	w.run(warmUp + measured)
	t := w.result
	return LoadResult{
		Policy:          p.name,
		ThroughputShare: float64(t.tokens) / measured.Seconds() / (w.bound() * meanAnswer),
		FirstToken:      percentile(t.first, 0.95), BetweenTokens: percentile(t.gaps, 0.95),
		RefusedShare: ratio(float64(t.refused), float64(t.tries)),
		WastedShare:  ratio(t.wasted, t.work),
	}
}

// comeBack lets all callers arrive within one second. Each stays until it has
// its answer.
func comeBack(p plan) ReturnResult {
	p.retry = true
	w := newWorld(p)
	for range int(w.bound() * returnLoad) {
		c := w.caller()
		w.after(time.Duration(w.demand.Float64()*float64(time.Second)), c.arrive)
	}
	w.run(10 * time.Second)
	r := ReturnResult{Policy: p.name}
	r.Jain, r.LargeShare, r.SmallShare = w.fairness()
	w.run(25 * time.Second)
	t := w.result
	r.FirstToken, r.BetweenTokens = percentile(t.first, 0.95), percentile(t.gaps, 0.95)
	r.WastedShare = ratio(t.wasted, t.work)
	r.Goodput = goodput(t.byTenth, w.bound()*meanAnswer)
	own := 0.0
	for _, g := range r.Goodput[min(10, len(r.Goodput)):min(20, len(r.Goodput))] {
		own += g / 10
	}
	r.Recovery, r.OwnRecovery = reaches(r.Goodput, 0.95), reaches(r.Goodput, 0.95*own)
	r.Hints = len(t.hints)
	r.HintLow, r.HintMedian, r.HintHigh = percentile(t.hints, 0.05), percentile(t.hints, 0.5), percentile(t.hints, 0.95)
	r.HintPeak = peak(t.hints)
	return r
}

// goodput returns the rates by window relative to the bound.
func goodput(byTenth []int, tokensPerSecond float64) []float64 {
	const tenths = int(window / (100 * time.Millisecond))
	var out []float64
	for i := 0; i+tenths <= len(byTenth); i += tenths {
		sum := 0
		for _, n := range byTenth[i : i+tenths] {
			sum += n
		}
		out = append(out, float64(sum)/window.Seconds()/tokensPerSecond)
	}
	return out
}

// reaches returns the end of the first window at the level; -1 for none.
func reaches(rates []float64, level float64) time.Duration {
	for i, g := range rates {
		if g >= level {
			return time.Duration(i+1) * window
		}
	}
	return -1
}

// fairness compares the answers of accounts in proportion to their weights.
func (w *world) fairness() (index, large, small float64) {
	var (
		parts        []float64
		done, wanted [2]float64
	)
	for _, a := range w.accounts {
		parts = append(parts, float64(a.done)/float64(a.weight))
		size := 0
		if a.weight > 1 {
			size = 1
		}
		done[size] += float64(a.done)
		wanted[size] += float64(a.wanted)
	}
	return jain(parts), ratio(done[1], wanted[1]), ratio(done[0], wanted[0])
}

// peak returns the largest number of hints in a tenth of a second relative to
// the mean over the span of the hints.
func peak(hints []time.Duration) float64 {
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
