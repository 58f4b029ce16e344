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
	// stallTimeout ends an answer on which nothing arrives. An entry replaces
	// a lost stage within seconds.
	stallTimeout = 30 * time.Second
	// callerAttempts bounds the attempts of one request beyond one for each
	// entry.
	callerAttempts = 2
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
		// Seed makes the answer repeatable; nil for a random one.
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
		// IdempotencyKey makes a lost call safe to repeat; it may be empty.
		IdempotencyKey string
	}

	// ServiceAnswer is what the service answered.
	ServiceAnswer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// completionBody has the field case of the published format.
	completionBody struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens,omitempty"`
		Seed      *int64 `json:"seed,omitempty"`
		Stream    bool   `json:"stream"`
	}

	// errorBody is a failure in the published format.
	errorBody struct {
		Message    string        `json:"message"`
		Code       fault.Code    `json:"code"`
		Param      string        `json:"param"`
		Outcome    fault.Outcome `json:"outcome"`
		RetryAfter float64       `json:"retry_after"`
	}
)

// NewCaller returns a client of the entries' caller interface, given as base
// URLs or host:port, with the API key of a client account.
func NewCaller(entries []string, key string) *Caller { return &Caller{newPool(entries, key)} }

// Complete streams the answer of a model to piece. It tries another entry only
// while nothing has run. After the first piece, a failure is Partial.
func (c *Caller) Complete(ctx context.Context, q Completion, piece func(text string) error) error {
	body, err := json.Marshal(completionBody{q.Model, q.Prompt, q.MaxTokens, q.Seed, true})
	if err != nil {
		return fault.New(fault.BadInput, "the request does not encode").WithCause(err)
	}
	r := request{
		method: http.MethodPost, path: "/v1/completions", body: body, effect: true,
		header: http.Header{"Content-Type": {"application/json"}},
	}
	return c.try(ctx, false, func(entry string) error { return c.complete(ctx, entry, r, piece) })
}

// Call sends a call to a plain service. It is sent again while nothing has run
// and, with an idempotency key, also when its outcome is unknown.
func (c *Caller) Call(ctx context.Context, q ServiceCall) (ServiceAnswer, error) {
	r := request{method: q.Method, path: "/services/" + q.Service + q.Path, body: q.Body, effect: true, header: q.Header.Clone()}
	if q.IdempotencyKey != "" {
		if r.header == nil {
			r.header = http.Header{}
		}
		r.header.Set(keyHeader, q.IdempotencyKey)
	}
	var answer ServiceAnswer
	err := c.try(ctx, q.IdempotencyKey != "", func(entry string) (err error) {
		answer, err = c.callOnce(ctx, entry, r)
		return err
	})
	return answer, err
}

// try makes attempts until one succeeds or its failure is final. An entry that
// could not be reached or is leaving is left at once; any other refusal is
// repeated only after the time that the entry asks for, since entries that are
// overloaded share their load.
func (c *Caller) try(ctx context.Context, keyed bool, attempt func(entry string) error) error {
	if len(c.entries) == 0 {
		return fault.Invalid("Entries", c.entries, "one address or more")
	}
	var (
		last    *fault.Error
		unknown bool
	)
	for range len(c.entries) + callerAttempts {
		entry := c.first()
		err := attempt(entry)
		if err == nil {
			return nil
		}
		last = fault.As(err)
		unknown = unknown || last.Outcome == fault.Unknown
		if !repeatable(last, keyed) {
			break
		}
		pause := roundPause
		if last.Code == fault.Unavailable || last.Code == fault.Leaving {
			c.leave(entry)
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

// repeatable reports whether the request may be sent once more.
func repeatable(e *fault.Error, keyed bool) bool {
	switch e.Code {
	case fault.BadInput, fault.Unauthorized, fault.NotFound, fault.KeyReused, fault.TooLarge, fault.Canceled:
		return false
	default:
		return e.Outcome == fault.NotRun || (keyed && e.Outcome == fault.Unknown)
	}
}

// complete makes one attempt of a completion.
func (c *Caller) complete(ctx context.Context, entry string, r request, piece func(text string) error) error {
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
			return fault.New(fault.Canceled, "the answer was given up").WithOutcome(outcome).WithCause(err)
		}
	}
	return fault.Newf(fault.Unavailable, "the answer of entry %s broke off", entry).WithOutcome(outcome).WithCause(lines.Err())
}

// callOnce makes one attempt of a call. The outcome header tells a failure of
// the router from an answer of the service.
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
		return ServiceAnswer{}, unanswered(entry, r, true, err)
	}
	return ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readEvent returns the text of one event, or the failure that ends a stream.
func readEvent(data []byte) (string, error) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *errorBody `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return "", fault.New(fault.Malformed, "an event of the answer does not decode").WithOutcome(fault.Partial).WithCause(err)
	}
	if event.Error != nil {
		return "", event.Error.failure(fault.Partial)
	}
	if len(event.Choices) == 0 {
		return "", nil
	}
	return event.Choices[0].Text, nil
}

func readFailure(resp *http.Response) error {
	var body struct {
		Error errorBody `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&body); err != nil || body.Error.Code == "" {
		return fault.Newf(fault.Unavailable, "answer with status %d", resp.StatusCode).WithOutcome(fault.Unknown).WithCause(err)
	}
	return body.Error.failure(fault.Unknown)
}

// failure returns the typed failure. An outcome that is missing counts as the
// given one.
func (b errorBody) failure(otherwise fault.Outcome) error {
	if b.Outcome == "" {
		b.Outcome = otherwise
	}
	e := fault.New(b.Code, b.Message).WithRetryAfter(time.Duration(b.RetryAfter * float64(time.Second)))
	e.Field = b.Param
	return e.WithOutcome(b.Outcome)
}
