package clnt

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// stallTimeout ends a streamed answer on which nothing arrives. It is far
	// above the seconds that an entry takes to replace a lost stage.
	stallTimeout = 30 * time.Second
	// extraAttempts is the number of attempts of one request beyond one for
	// each entry.
	extraAttempts = 2
	// keyHeader carries the idempotency key of a call.
	keyHeader = "Idempotency-Key"
)

type (
	// Caller sends requests to models and calls to plain services, with the
	// key of a client account. It is safe for concurrent use.
	Caller struct{ *pool }

	// Completion is a request to a model.
	Completion struct {
		// Model names a Model or an Adapter.
		Model     string
		Prompt    string
		MaxTokens int
		// Seed makes the answer reproducible; nil means a random seed.
		Seed *int64
	}

	// ServiceCall is a call to a plain service.
	ServiceCall struct {
		Service string
		Method  string
		// Path starts with a slash and is relative to the service.
		Path   string
		Header http.Header
		Body   []byte
		// IdempotencyKey makes a lost call safe to retry; it may be empty.
		IdempotencyKey string
	}

	// ServiceAnswer is the response of the service.
	ServiceAnswer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// completionBody is the body of a request to /v1/completions.
	completionBody struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens,omitempty"`
		Seed      *int64 `json:"seed,omitempty"`
		Stream    bool   `json:"stream"`
	}

	// errorBody is the error object of a failed response or stream.
	errorBody struct {
		Message    string        `json:"message"`
		Code       fault.Code    `json:"code"`
		Param      string        `json:"param"`
		Outcome    fault.Outcome `json:"outcome"`
		RetryAfter float64       `json:"retry_after"`
	}
)

// NewCaller returns a client of the callers' interface. The entries are base
// URLs or host:port; key is an API key of a client account.
func NewCaller(entries []string, key string) *Caller { return &Caller{newPool(entries, key)} }

// Complete streams the answer of a model and calls piece with each part of its
// text. It retries only while no attempt has run. After the first part, a
// failure has the outcome Partial.
func (c *Caller) Complete(ctx context.Context, q Completion, piece func(text string) error) error {
	body, err := json.Marshal(completionBody{q.Model, q.Prompt, q.MaxTokens, q.Seed, true})
	if err != nil {
		return fault.New(fault.BadInput, "cannot encode the request").WithCause(err)
	}
	r := request{
		method: http.MethodPost, path: "/v1/completions", body: body, mutates: true,
		header: http.Header{"Content-Type": {"application/json"}},
	}
	return c.retry(ctx, false, func(entry string) error { return c.completeOnce(ctx, entry, r, piece) })
}

// Call sends a call to a plain service. It retries while no attempt has run
// and, with an idempotency key, also when the outcome is unknown.
func (c *Caller) Call(ctx context.Context, q ServiceCall) (ServiceAnswer, error) {
	r := request{method: q.Method, path: "/services/" + q.Service + q.Path, body: q.Body, mutates: true, header: q.Header.Clone()}
	if q.IdempotencyKey != "" {
		if r.header == nil {
			r.header = http.Header{}
		}
		r.header.Set(keyHeader, q.IdempotencyKey)
	}
	var answer ServiceAnswer
	err := c.retry(ctx, q.IdempotencyKey != "", func(entry string) (err error) {
		answer, err = c.callOnce(ctx, entry, r)
		return err
	})
	return answer, err
}

// retry makes attempts until one succeeds or fails for good; hasKey says that
// the request has an idempotency key. It moves on to the next entry if one is
// unreachable or leaving. After any other refusal it tries the same entry again,
// not before its retry hint has passed: overloaded entries share their load, so
// that another one would refuse as well.
func (c *Caller) retry(ctx context.Context, hasKey bool, attempt func(entry string) error) error {
	if len(c.entries) == 0 {
		return fault.Invalid("Entries", c.entries, "one address or more")
	}
	var (
		last    *fault.Error
		unknown bool
	)
	for range len(c.entries) + extraAttempts {
		entry := c.currentEntry()
		err := attempt(entry)
		if err == nil {
			return nil
		}
		last = fault.As(err)
		unknown = unknown || last.Outcome == fault.Unknown
		if !retryable(last, hasKey) {
			break
		}
		pause := roundPause
		if last.Code == fault.Unavailable || last.Code == fault.Leaving {
			c.skipEntry(entry)
			pause = roundPause / 10
		}
		pause = max(pause, last.RetryAfter)
		if timer.Sleep(ctx, c.clock, pause+rand.N(pause/4)) != nil {
			break
		}
	}
	if unknown && last.Outcome == fault.NotRun {
		// The last attempt had no effect, but an earlier one may have had.
		return last.WithOutcome(fault.Unknown)
	}
	return last
}

// retryable reports whether the request may be sent again after the failure.
func retryable(e *fault.Error, hasKey bool) bool {
	switch e.Code {
	case fault.BadInput, fault.Unauthorized, fault.NotFound, fault.KeyReused, fault.TooLarge, fault.Canceled:
		return false
	default:
		return e.Outcome == fault.NotRun || (hasKey && e.Outcome == fault.Unknown)
	}
}

// completeOnce makes one attempt of a completion.
func (c *Caller) completeOnce(ctx context.Context, entry string, r request, piece func(text string) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := c.clock.After(stallTimeout, cancel)
	defer func() { watchdog() }()
	resp, err := c.send(ctx, entry, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readFailure(resp)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	outcome := fault.Unknown
	for lines.Scan() {
		watchdog()
		watchdog = c.clock.After(stallTimeout, cancel)
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		text, err := readEvent([]byte(data))
		if err != nil {
			return err
		}
		if text == "" {
			continue
		}
		outcome = fault.Partial
		if err := piece(text); err != nil {
			return fault.New(fault.Canceled, "the caller stopped reading the answer").WithOutcome(outcome).WithCause(err)
		}
	}
	return fault.Newf(fault.Unavailable, "the answer of entry %s ended without its terminal event", entry).WithOutcome(outcome).WithCause(lines.Err())
}

// callOnce makes one attempt of a call. Only a failure of the router itself has
// the outcome header; any other response is the answer of the service.
func (c *Caller) callOnce(ctx context.Context, entry string, r request) (ServiceAnswer, error) {
	resp, err := c.send(ctx, entry, r)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(fault.Header) != "" {
		return ServiceAnswer{}, readFailure(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return ServiceAnswer{}, noAnswer(entry, r, true, err)
	}
	return ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readEvent returns the text of one event of a stream, or the failure that the
// event reports.
func readEvent(data []byte) (string, error) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *errorBody `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return "", fault.New(fault.Malformed, "cannot decode an event of the answer").WithOutcome(fault.Partial).WithCause(err)
	}
	if event.Error != nil {
		return "", event.Error.failure(fault.Partial)
	}
	if len(event.Choices) == 0 {
		return "", nil
	}
	return event.Choices[0].Text, nil
}

// readFailure returns the failure in the body of a response.
func readFailure(resp *http.Response) error {
	var body struct {
		Error errorBody `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&body); err != nil || body.Error.Code == "" {
		return fault.Newf(fault.Unavailable, "response with status %d and no failure in its body", resp.StatusCode).WithOutcome(fault.Unknown).WithCause(err)
	}
	return body.Error.failure(fault.Unknown)
}

// failure returns the failure as a fault.Error, with the given outcome if the
// body has none.
func (b errorBody) failure(defaultOutcome fault.Outcome) error {
	if b.Outcome == "" {
		b.Outcome = defaultOutcome
	}
	e := fault.New(b.Code, b.Message).WithRetryAfter(time.Duration(b.RetryAfter * float64(time.Second)))
	e.Field = b.Param
	return e.WithOutcome(b.Outcome)
}
