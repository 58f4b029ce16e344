package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
)

const (
	// highest is the largest recorded time in microseconds.
	highest   = int64(10 * time.Minute / time.Microsecond)
	precision = 3
	// openRequests bounds the requests in flight.
	openRequests = 4096
	maxEvent     = 1 << 20
)

const (
	answerWhole     answerKind = "Whole"
	answerWrong     answerKind = "Wrong"
	answerTruncated answerKind = "Truncated"
	// answerSilent is a stream that ended without terminal or error event.
	answerSilent  answerKind = "Silent"
	answerRefused answerKind = "Refused"
	answerFailed  answerKind = "Failed"
)

type (
	answerKind string

	// Load describes the load and the model behind the entries.
	Load struct {
		// Entries are base URLs, used in turn.
		Entries []string
		// Keys are API keys of client accounts, used in turn.
		Keys  []string
		Model string
		// Version, Adapter and Layers are needed for the reference answer.
		Version   string
		Adapter   string
		Layers    int
		Prompt    string
		MaxTokens int
		Seed      uint64
		// Count and Time bound the run.
		Count int
		Time  time.Duration
		// RatePerSecond of an open loop; 0 sends all requests at once.
		RatePerSecond float64
		Clock         timer.Service
	}

	// LoadReport is what the callers saw.
	LoadReport struct {
		Sent                                                 int
		Whole, Wrong, Truncated, Silent, Refused, Failed     int
		Outcomes                                             map[string]int
		FirstTokenP50, FirstTokenP95, FirstTokenP99          time.Duration
		BetweenTokensP50, BetweenTokensP95, BetweenTokensP99 time.Duration
		// Hints are the Retry-After values of refusals.
		Hints                         int
		HintLow, HintMedian, HintHigh time.Duration
		// Goodput counts tokens of whole answers by second of their end.
		Goodput []int
		Elapsed time.Duration
	}

	// loadRun collects the results of the requests in flight.
	loadRun struct {
		load   Load
		begun  time.Time
		client *http.Client
		mu     sync.Mutex
		report LoadReport
		first  *hdrhistogram.Histogram
		gaps   *hdrhistogram.Histogram
		hints  []time.Duration
	}

	// reading is the state of one streamed answer.
	reading struct {
		text  strings.Builder
		first time.Duration
		gaps  []time.Duration
		kind  answerKind
		fault *fault.Error
		count int
	}
)

// Run sends the load and waits for all answers or the end of the time.
func (l Load) Run(ctx context.Context) (LoadReport, error) {
	if len(l.Entries) == 0 || len(l.Keys) == 0 || l.Count < 1 {
		return LoadReport{}, fault.New(fault.BadInput, "entries, keys and a count are needed")
	}
	ctx, cancel := timer.WithTimeout(ctx, l.Clock, l.Time)
	defer cancel()
	r := &loadRun{
		load: l, begun: l.Clock.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: openRequests}},
		first:  hdrhistogram.New(1, highest, precision), gaps: hdrhistogram.New(1, highest, precision),
	}
	r.report.Outcomes = map[string]int{}
	var wait sync.WaitGroup
	places := make(chan struct{}, openRequests)
	for i := range l.Count {
		if !r.pace(ctx, i, places) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-places }()
			r.send(ctx, i)
		}()
	}
	wait.Wait()
	r.client.CloseIdleConnections()
	return r.finish(), nil
}

// pace waits for the turn of a request; false when the time is over.
func (r *loadRun) pace(ctx context.Context, i int, places chan<- struct{}) bool {
	if rate := r.load.RatePerSecond; rate > 0 {
		due := r.begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if d := due.Sub(r.load.Clock.Now()); d > 0 && timer.Sleep(ctx, r.load.Clock, d) != nil {
			return false
		}
	}
	select {
	case places <- struct{}{}:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (r *loadRun) send(ctx context.Context, i int) {
	l := r.load
	prompt, seed := fmt.Sprintf("%s %d", l.Prompt, i), l.Seed+uint64(i)
	in := r.request(ctx, i, prompt, seed)
	if in.kind == answerWhole {
		values := fengn.Reference(l.Version, l.Adapter, l.Layers, token.Encode(prompt), l.MaxTokens, seed)
		if in.text.String() != token.Decode(values) {
			in.kind = answerWrong
		}
	}
	r.record(in)
}

// request sends one request and reads its answer.
func (r *loadRun) request(ctx context.Context, i int, prompt string, seed uint64) *reading {
	l, in := r.load, &reading{kind: answerFailed}
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Seed      uint64 `json:"seed"`
		Stream    bool   `json:"stream"`
	}{l.Model, prompt, l.MaxTokens, seed, true})
	if err != nil {
		in.fault = fault.As(err)
		return in
	}
	url := strings.TrimSuffix(l.Entries[i%len(l.Entries)], "/") + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		in.fault = fault.As(err)
		return in
	}
	req.Header.Set("Authorization", "Bearer "+l.Keys[i%len(l.Keys)])
	req.Header.Set("Content-Type", "application/json")
	begun := l.Clock.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		in.fault = fault.As(err)
		return in
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		in.fault = failure(resp)
		if in.fault.Outcome == fault.NotRun {
			in.kind = answerRefused
		}
		return in
	}
	in.stream(resp, l.Clock, begun)
	return in
}

// failure reads the published error format; the outcome header decides.
func failure(resp *http.Response) *fault.Error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxEvent))
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
		return fault.New(fault.Malformed, "failure does not decode").WithOutcome(fault.Unknown).WithCause(err)
	}
	f := fault.New(fault.Code(body.Error.Code), body.Error.Message)
	f.RetryAfter = time.Duration(body.Error.RetryAfter * float64(time.Second))
	return f.WithOutcome(fault.Outcome(body.Error.Outcome))
}

// stream reads server-sent events to the terminal or the error event.
func (in *reading) stream(resp *http.Response, clock timer.Service, begun time.Time) {
	in.kind = answerSilent
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEvent)
	failed, last := false, begun
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
			in.kind = answerTruncated
			in.fault = decodeFailure([]byte(data))
			return
		case data == "[DONE]":
			in.kind = answerWhole
			return
		default:
			if !in.event(data) {
				continue
			}
			now := clock.Now()
			if in.count++; in.count == 1 {
				in.first = now.Sub(begun)
			} else {
				in.gaps = append(in.gaps, now.Sub(last))
			}
			last = now
		}
	}
}

// event adds the text of one event; false when it has none.
func (in *reading) event(data string) bool {
	var chunk struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
		return false
	}
	in.text.WriteString(chunk.Choices[0].Text)
	return true
}

func (r *loadRun) record(in *reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.report
	t.Sent++
	switch in.kind {
	case answerWhole:
		t.Whole++
		second := int(r.load.Clock.Now().Sub(r.begun) / time.Second)
		for len(t.Goodput) <= second {
			t.Goodput = append(t.Goodput, 0)
		}
		t.Goodput[second] += in.count
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
	if in.fault != nil {
		t.Outcomes[string(in.fault.Code)+"/"+string(in.fault.Outcome)]++
		if in.fault.RetryAfter > 0 {
			r.hints = append(r.hints, in.fault.RetryAfter)
		}
	}
	if in.count > 0 {
		_ = r.first.RecordValue(in.first.Microseconds())
	}
	for _, g := range in.gaps {
		_ = r.gaps.RecordValue(g.Microseconds())
	}
}

func (r *loadRun) finish() LoadReport {
	t := r.report
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	t.FirstTokenP50, t.FirstTokenP95, t.FirstTokenP99 = at(r.first, 50), at(r.first, 95), at(r.first, 99)
	t.BetweenTokensP50, t.BetweenTokensP95, t.BetweenTokensP99 = at(r.gaps, 50), at(r.gaps, 95), at(r.gaps, 99)
	t.Hints = len(r.hints)
	t.HintLow, t.HintMedian, t.HintHigh = percentile(r.hints, 0.05), percentile(r.hints, 0.5), percentile(r.hints, 0.95)
	t.Elapsed = r.load.Clock.Now().Sub(r.begun)
	return t
}
