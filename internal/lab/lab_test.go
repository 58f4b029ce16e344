package lab

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
)

// Guards against emulator results that differ between runs with the same seed, and
// against callers that get no answer although the targets are idle.
func TestDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() counters {
		w := newCluster(policyScenarios(3, Settings{Concurrency: 100, Sessions: 4})[0])
		for range 20 {
			w.newCaller().arrive()
		}
		w.run(5 * time.Second)
		return w.result
	}
	first := run()
	is.Equal(first.done, 20)
	is.Equal(run(), first)
	is.Equal(simulateSharedLimit(3, true), simulateSharedLimit(3, true))
}

// Guards against a wrong least-squares line or fairness index.
func TestFit(t *testing.T) {
	is := is.New(t)
	is.Equal(fit([]float64{1, 2, 4}, []float64{5, 7, 11}), Fit{Slope: 2, Intercept: 3, R2: 1})
	is.Equal(jain([]float64{1, 1, 0, 0}), 0.5)
}

// Guards against retries that exceed their budget in an outage.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		is.True(simulateOutage(seed).Added <= RetryBound)
	}
}

// Guards against answers that are counted as complete although they are wrong,
// cut off, or end without a terminal event.
func TestLoadKinds(t *testing.T) {
	is := is.New(t)
	event := func(text string) string { return `data: {"choices":[{"text":"` + text + `"}]}` + "\n\n" }
	failed := `{"error":{"code":"TargetLost","outcome":"Partial"}}`
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := token.Decode(fengn.Reference("v", "", 2, token.Encode(fmt.Sprintf("p %d 0", requests)), 4, uint64(requests)))
		requests++
		answers := []string{
			event(text) + "data: [DONE]\n\n",
			event("no") + "data: [DONE]\n\n",
			event(text) + "event: error\ndata: " + failed + "\n\n",
			event(text),
		}
		if requests <= len(answers) {
			_, _ = w.Write([]byte(answers[requests-1]))
			return
		}
		w.Header().Set(fault.Header, "NotRun")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"error":{"code":"LimitReached","outcome":"NotRun","retry_after":1.5}}`))
	}))
	defer server.Close()
	l := Load{
		Entries: []string{server.URL}, Keys: []string{"k"}, Model: "m", Version: "v", Layers: 2, Prompt: "p",
		MaxTokens: 4, Count: 1, Time: time.Minute, Clock: timer.System{},
	}
	var got []LoadReport
	for seed := range uint64(5) {
		// The load generator appends the number of the request, here 0.
		l.Seed, l.Prompt = seed, fmt.Sprint("p ", seed)
		r, err := l.Run(context.Background())
		is.NoErr(err)
		got = append(got, r)
	}
	is.Equal(got[0].Whole, 1)
	is.Equal(got[1].Wrong, 1)
	is.Equal(got[2].Truncated, 1)
	is.Equal(got[2].Outcomes, map[string]int{"TargetLost/Partial": 1})
	is.Equal(got[3].Silent, 1)
	is.Equal(got[4].Refused, 1)
	is.Equal(got[4].HintMedian, 1500*time.Millisecond)
}

// Guards against probes that fail or measure nothing.
func TestProbes(t *testing.T) {
	is := is.New(t)
	for _, p := range probes(timer.System{}) {
		point, err := p.measure(context.Background(), timer.System{}, 8, 300*time.Millisecond)
		is.NoErr(err)
		is.Equal(point.Size, 8)
		is.True(point.HeapBytes > 0 || point.WireBytes > 0)
	}
}
