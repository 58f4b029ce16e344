package lab

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against results that differ between runs of one seed, and against
// callers that get no answer although the targets are idle.
func TestDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() tally {
		w := newWorld(policies(3, 100)[0])
		for range 20 {
			w.caller().arrive()
		}
		w.run(5 * time.Second)
		return w.result
	}
	first := run()
	is.Equal(first.done, 20)
	is.Equal(run(), first)
	is.Equal(sharedLimit(3, true), sharedLimit(3, true))
}

// Guards against a line that does not go through its points.
func TestFit(t *testing.T) {
	is := is.New(t)
	is.Equal(fit([]float64{1, 2, 4}, []float64{5, 7, 11}), Fit{Slope: 2, Intercept: 3, R2: 1})
	is.Equal(jain([]float64{1, 1, 0, 0}), 0.5)
}

// Guards against retries beyond their budget in an outage.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		is.True(outage(seed).Added <= RetryBound)
	}
}
