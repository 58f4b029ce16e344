package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/httpc"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
)

const (
	// maxLatencyMicros is the largest recorded latency in microseconds.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits of recorded latencies.
	histogramDigits = 3
	// maxInFlight is the maximum number of requests in flight.
	maxInFlight   = 4096
	maxEventBytes = 1 << 20
)

const (
	answerComplete  answerKind = "Whole"
	answerWrong     answerKind = "Wrong"
	answerTruncated answerKind = "Truncated"
	// answerSilent is a stream that ended without a terminal or error event.
	answerSilent  answerKind = "Silent"
	answerRefused answerKind = "Refused"
	answerFailed  answerKind = "Failed"
)

type (
	answerKind string

	// Load is a load generator for a model behind running entries.
	Load struct {
		// Entries are base URLs, used round robin.
		Entries []string
		// Keys are API keys of client accounts, used round robin.
		Keys  []string
		Model string
		// Version, Adapter and Layers are needed to compute the correct answer.
		Version   string
		Adapter   string
		Layers    int
		Prompt    string
		MaxTokens int
		Seed      uint64
		// Count is the number of requests, Time the longest duration of the run.
		Count int
		Time  time.Duration
		// RatePerSecond is the rate of requests, independent of the answers; 0
		// sends all at once.
		RatePerSecond float64
		Clock         timer.Service
	}

	// LoadReport sums up the answers by kind, and their latencies as seen by
	// callers.
	LoadReport struct {
		Sent                                                 int
		Whole, Wrong, Truncated, Silent, Refused, Failed     int
		Outcomes                                             map[string]int
		FirstTokenP50, FirstTokenP95, FirstTokenP99          time.Duration
		BetweenTokensP50, BetweenTokensP95, BetweenTokensP99 time.Duration
		// Hints counts the retry hints (Retry-After) in failures. HintLow and
		// HintHigh are the 5th and 95th percentile.
		Hints                         int
		HintLow, HintMedian, HintHigh time.Duration
		// Goodput is the number of tokens of complete answers, by the second in
		// which the answer ended.
		Goodput []int
		Elapsed time.Duration
	}

	// loadRun is one run of a Load. The lock protects the results.
	loadRun struct {
		load   Load
		start  time.Time
		client *http.Client
		mu     sync.Mutex
		report LoadReport
		first  *hdrhistogram.Histogram
		gaps   *hdrhistogram.Histogram
		hints  []time.Duration
	}

	// streamedAnswer collects one streamed answer; first is the latency of the
	// first token, gaps those of the others.
	streamedAnswer struct {
		text  strings.Builder
		first time.Duration
		gaps  []time.Duration
		kind  answerKind
		fault *fault.Error
		count int
	}
)

// Run sends the load and returns when all answers have ended or Time is over.
func (l Load) Run(ctx context.Context) (LoadReport, error) {
	if len(l.Entries) == 0 || len(l.Keys) == 0 || l.Count < 1 {
		return LoadReport{}, fault.New(fault.BadInput, "at least one entry, one key and one request are required")
	}
	ctx, cancel := timer.WithTimeout(ctx, l.Clock, l.Time)
	defer cancel()
	dialer := &net.Dialer{}
	r := &loadRun{
		load: l, start: l.Clock.Now(),
		client: &http.Client{Transport: httpc.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight})},
		first:  hdrhistogram.New(1, maxLatencyMicros, histogramDigits), gaps: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
	r.report.Outcomes = map[string]int{}
	var running sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for i := range l.Count {
		if !r.waitTurn(ctx, i, slots) {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			r.send(ctx, i)
		}()
	}
	running.Wait()
	r.client.CloseIdleConnections()
	return r.summarize(), nil
}

// waitTurn waits until request i is due and a slot is free. It returns false when
// Time is over.
func (r *loadRun) waitTurn(ctx context.Context, i int, slots chan<- struct{}) bool {
	if rate := r.load.RatePerSecond; rate > 0 {
		due := r.start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if d := due.Sub(r.load.Clock.Now()); d > 0 && timer.Sleep(ctx, r.load.Clock, d) != nil {
			return false
		}
	}
	select {
	case slots <- struct{}{}:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// send sends request i, compares a complete answer with the correct one, and
// records the result.
func (r *loadRun) send(ctx context.Context, i int) {
	l := r.load
	prompt, seed := fmt.Sprintf("%s %d", l.Prompt, i), l.Seed+uint64(i)
	a := r.request(ctx, i, prompt, seed)
	if a.kind == answerComplete {
		values := fengn.Reference(l.Version, l.Adapter, l.Layers, token.Encode(prompt), l.MaxTokens, seed)
		if a.text.String() != token.Decode(values) {
			a.kind = answerWrong
		}
	}
	r.record(a)
}

// request sends one request and reads its answer.
func (r *loadRun) request(ctx context.Context, i int, prompt string, seed uint64) *streamedAnswer {
	l, a := r.load, &streamedAnswer{kind: answerFailed}
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Seed      uint64 `json:"seed"`
		Stream    bool   `json:"stream"`
	}{l.Model, prompt, l.MaxTokens, seed, true})
	if err != nil {
		a.fault = fault.As(err)
		return a
	}
	url := strings.TrimSuffix(l.Entries[i%len(l.Entries)], "/") + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		a.fault = fault.As(err)
		return a
	}
	req.Header.Set("Authorization", "Bearer "+l.Keys[i%len(l.Keys)])
	req.Header.Set("Content-Type", "application/json")
	start := l.Clock.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		a.fault = fault.As(err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		a.fault = readFailure(resp)
		if a.fault.Outcome == fault.NotRun {
			a.kind = answerRefused
		}
		return a
	}
	a.stream(resp, l.Clock, start)
	return a
}

// readFailure decodes an error response. The outcome header overrides the outcome
// in the body.
func readFailure(resp *http.Response) *fault.Error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return fault.As(err)
	}
	f := decodeFailure(b)
	if o := resp.Header.Get(fault.Header); o != "" {
		return f.WithOutcome(fault.Outcome(o))
	}
	return f
}

func decodeFailure(b []byte) *fault.Error {
	var body struct {
		Error struct {
			Code       string  `json:"code"`
			Message    string  `json:"message"`
			Outcome    string  `json:"outcome"`
			RetryAfter float64 `json:"retry_after"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &body); err != nil || body.Error.Outcome == "" {
		return fault.New(fault.Malformed, "error response is not JSON with an outcome").WithOutcome(fault.Unknown).WithCause(err)
	}
	f := fault.New(fault.Code(body.Error.Code), body.Error.Message)
	f.RetryAfter = time.Duration(body.Error.RetryAfter * float64(time.Second))
	return f.WithOutcome(fault.Outcome(body.Error.Outcome))
}

// stream reads server-sent events up to the terminal or error event, or the end of
// the stream.
func (a *streamedAnswer) stream(resp *http.Response, clock timer.Service, start time.Time) {
	a.kind = answerSilent
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	failed, last := false, start
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failed:
			a.kind = answerTruncated
			a.fault = decodeFailure([]byte(data))
			return
		case data == "[DONE]":
			a.kind = answerComplete
			return
		default:
			if !a.addEvent(data) {
				continue
			}
			now := clock.Now()
			if a.count++; a.count == 1 {
				a.first = now.Sub(start)
			} else {
				a.gaps = append(a.gaps, now.Sub(last))
			}
			last = now
		}
	}
}

// addEvent adds the text of one event. It returns false if there is none.
func (a *streamedAnswer) addEvent(data string) bool {
	var chunk struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
		return false
	}
	a.text.WriteString(chunk.Choices[0].Text)
	return true
}

func (r *loadRun) record(a *streamedAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.report
	t.Sent++
	switch a.kind {
	case answerComplete:
		t.Whole++
		second := int(r.load.Clock.Now().Sub(r.start) / time.Second)
		for len(t.Goodput) <= second {
			t.Goodput = append(t.Goodput, 0)
		}
		t.Goodput[second] += a.count
	case answerWrong:
		t.Wrong++
	case answerTruncated:
		t.Truncated++
	case answerSilent:
		t.Silent++
	case answerRefused:
		t.Refused++
	case answerFailed:
		t.Failed++
	}
	if a.fault != nil {
		t.Outcomes[string(a.fault.Code)+"/"+string(a.fault.Outcome)]++
		if a.fault.RetryAfter > 0 {
			r.hints = append(r.hints, a.fault.RetryAfter)
		}
	}
	if a.count > 0 {
		_ = r.first.RecordValue(a.first.Microseconds())
	}
	for _, g := range a.gaps {
		_ = r.gaps.RecordValue(g.Microseconds())
	}
}

func (r *loadRun) summarize() LoadReport {
	t := r.report
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	t.FirstTokenP50, t.FirstTokenP95, t.FirstTokenP99 = at(r.first, 50), at(r.first, 95), at(r.first, 99)
	t.BetweenTokensP50, t.BetweenTokensP95, t.BetweenTokensP99 = at(r.gaps, 50), at(r.gaps, 95), at(r.gaps, 99)
	t.Hints = len(r.hints)
	t.HintLow, t.HintMedian, t.HintHigh = percentile(r.hints, 0.05), percentile(r.hints, 0.5), percentile(r.hints, 0.95)
	t.Elapsed = r.load.Clock.Now().Sub(r.start)
	return t
}
