package entry

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"shallotcourse/internal/fault"
)

// entryMetrics holds the metrics of an entry.
type entryMetrics struct {
	set *metrics.Set
	// open counts open requests and calls; Drain waits until it is 0.
	open        atomic.Int64
	requests    *metrics.Counter
	calls       *metrics.Counter
	tokens      *metrics.Counter
	retries     *metrics.Counter
	recoveries  *metrics.Counter
	claims      *metrics.Counter
	sweptClaims *metrics.Counter
	firstToken  *metrics.Histogram
	tokenGaps   *metrics.Histogram
	queueTime   *metrics.Histogram
}

func newEntryMetrics(set *metrics.Set, e *Entry) *entryMetrics {
	m := &entryMetrics{
		set:         set,
		requests:    set.GetOrCreateCounter(`shallotcourse_entry_requests_total{Kind="Model"}`),
		calls:       set.GetOrCreateCounter(`shallotcourse_entry_requests_total{Kind="Service"}`),
		tokens:      set.GetOrCreateCounter(`shallotcourse_entry_tokens_total`),
		retries:     set.GetOrCreateCounter(`shallotcourse_entry_retries_total`),
		recoveries:  set.GetOrCreateCounter(`shallotcourse_entry_recoveries_total`),
		claims:      set.GetOrCreateCounter(`shallotcourse_entry_claims_total`),
		sweptClaims: set.GetOrCreateCounter(`shallotcourse_entry_claims_swept_total`),
		firstToken:  set.GetOrCreateHistogram(`shallotcourse_entry_first_token_seconds`),
		tokenGaps:   set.GetOrCreateHistogram(`shallotcourse_entry_between_tokens_seconds`),
		queueTime:   set.GetOrCreateHistogram(`shallotcourse_entry_queue_seconds`),
	}
	set.GetOrCreateGauge(`shallotcourse_entry_open`, func() float64 { return float64(e.OpenRequests()) })
	return m
}

// countFailure counts a failure by code and outcome.
func (m *entryMetrics) countFailure(f *fault.Error) {
	name := fmt.Sprintf(`shallotcourse_entry_failures_total{Code=%q,Outcome=%q}`, f.Code, f.Outcome)
	m.set.GetOrCreateCounter(name).Inc()
}
