package pipes_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/pipes"
	"shallotcourse/internal/place"
	"shallotcourse/internal/topo"
)

const (
	objective = 500 * time.Millisecond
	pause     = 200 * time.Millisecond
	// lowRate is a load in requests per second that every layout can serve.
	lowRate = 65.0
)

// model and cards describe one data centre with mixed accelerator cards.
var (
	model = &topo.Model{
		Layers: 80, LayerMegabytes: 1750, TokenMegabytes: 0.011475, Step: 1020 * time.Microsecond,
		StepPerRequest: 7140 * time.Nanosecond, StepPerThousand: 9560 * time.Nanosecond, Stride: 3, Chunk: 512,
		ReadPerSecond: 105000, UsualPrompt: 774, UsualAnswer: 203,
		Cards: map[string]topo.Card{
			"Large": {Megabytes: 72000, Pace: 2.4, ReadPace: 3.2}, "Middle": {Megabytes: 43200, Pace: 5.6, ReadPace: 2.7},
			"Small": {Megabytes: 21600, Pace: 16, ReadPace: 8.2},
		},
	}
	cards = []string{
		"Large", "Middle", "Middle", "Middle", "Middle", "Middle", "Middle", "Small", "Small", "Small", "Small", "Small",
	}
)

// planned returns the stages of the first chain in the planner's layout.
func planned() []chain.Stage {
	var targets []place.Target
	for i, card := range cards {
		targets = append(targets, place.Target{Target: topo.Target{ID: fmt.Sprintf("t%02d", i), Address: fmt.Sprintf("10.0.0.1:%d", 1+i), DataCentre: "x", Card: card}})
	}
	var out []chain.Stage
	next := 0
	for _, o := range place.Plan(model, targets, false) {
		if o.Why == "hole" && o.Layers.From == next {
			out = append(out, chain.Stage{Card: o.Target.Card, Layers: o.Layers.Len()})
			next = o.Layers.To
		}
	}
	return out
}

// proportional returns the baseline layout: layers in proportion to the memory of
// the cards.
func proportional() []chain.Stage {
	memory, left := 0.0, model.Layers
	for _, card := range cards {
		memory += model.Cards[card].Megabytes
	}
	var out []chain.Stage
	for i, card := range cards {
		n := int(float64(model.Layers)*model.Cards[card].Megabytes/memory + 0.5)
		if i == len(cards)-1 {
			n = left
		}
		out = append(out, chain.Stage{Card: card, Layers: n})
		left -= n
	}
	return out
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func admitAll(int, int) bool { return true }

// refuseEarly returns an admission function that refuses a request if the prefill of
// the pending prompts takes too long for its objective, as chain.Choose does.
func refuseEarly(stages []chain.Stage) func(int, int) bool {
	return func(inFlight, pendingPrompt int) bool {
		longest := time.Duration(0)
		for _, s := range stages {
			decoders := float64(inFlight) / float64(len(stages))
			longest = max(longest, time.Duration(pendingPrompt)*s.ReadToken(model, decoders))
		}
		return longest <= objective/2
	}
}

func simulate(stages []chain.Stage, rate func(time.Duration) float64, admit func(int, int) bool, seed uint64) pipes.Result {
	return pipes.Emulator{
		Model: model, Stages: stages, Rate: rate, Length: 12 * time.Second, Seed: seed, Admit: admit,
		Objective: objective, Pause: pause,
	}.Run()
}

// goodShare returns the share of all requests that ended as Good.
func goodShare(r pipes.Result) float64 { return float64(r.Good) / float64(r.Asked) }

// Guards against a simulation whose result depends on anything but its settings and
// seed.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	is.Equal(simulate(planned(), constantRate(40), admitAll, 7), simulate(planned(), constantRate(40), admitAll, 7))
}

// Guards against a layout that cannot serve a low load.
func TestCalmDay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(len(planned()), slices.Index(cards, "Small")) // the slow cards are standby
	for seed := range uint64(3) {
		is.True(goodShare(simulate(planned(), constantRate(lowRate), admitAll, seed)) >= 0.99)
		is.True(goodShare(simulate(proportional(), constantRate(lowRate), admitAll, seed)) >= 0.99)
	}
}

// Guards against a planner's layout that is no better than the baseline at twice the
// low load: with layers in proportion to memory most requests are late, whereas the
// planner's layout serves nearly all in time.
func TestTwiceTheLoadOnMixedCards(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(3) {
		is.True(goodShare(simulate(planned(), constantRate(2*lowRate), admitAll, seed)) >= 0.9)
		is.True(goodShare(simulate(proportional(), constantRate(2*lowRate), admitAll, seed)) < 0.5)
	}
}

// Guards against overload that outlasts a burst: the load triples for three seconds.
// Without refusals nearly all requests are late, even after the burst; early refusals
// keep most of the admitted ones in time.
func TestJumpByThree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stages := planned()
	burst := func(at time.Duration) float64 {
		if at > 3*time.Second && at < 6*time.Second {
			return 4.5 * lowRate
		}
		return 1.5 * lowRate
	}
	good, baselineGood := 0, 0
	for seed := range uint64(5) {
		refusing, admitting := simulate(stages, burst, refuseEarly(stages), seed), simulate(stages, burst, admitAll, seed)
		good, baselineGood = good+refusing.Good, baselineGood+admitting.Good
		is.True(float64(refusing.Late) <= 0.15*float64(refusing.Good+refusing.Late))
	}
	is.True(float64(good) >= 1.2*float64(baselineGood))
}
