package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"

	"shallotcourse/internal/fault"
)

// StepBatch sends several steps in one request. Sent, if not nil, is called
// when the request has been written or has failed, perhaps more than once.
// Each is called once for
// each step that was answered; steps without an answer share the returned
// failure and may be sent again, since the engine keeps what it has run.
func (c *Client) StepBatch(ctx context.Context, steps []BatchStep, sent func(), each func(int, StepResult, error)) error {
	if sent != nil {
		defer sent()
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { sent() },
		})
	}
	b, err := json.Marshal(steps)
	if err != nil {
		return fault.New(fault.Internal, "steps do not encode").WithCause(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/steps", bytes.NewReader(b))
	if err != nil {
		return fault.New(fault.Internal, "engine address is not usable").WithCause(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return refusal(resp.StatusCode, body)
	}
	answers := json.NewDecoder(resp.Body)
	seen := make([]bool, len(steps))
	for range steps {
		var r BatchResult
		if err := answers.Decode(&r); err != nil {
			return lost(ctx, err)
		}
		if r.Index < 0 || r.Index >= len(steps) || seen[r.Index] {
			return fault.New(fault.Malformed, "engine answered a step that was not asked").WithOutcome(fault.Unknown)
		}
		seen[r.Index] = true
		if r.Code != "" {
			each(r.Index, StepResult{}, fault.New(fault.Code(r.Code), r.Detail))
			continue
		}
		each(r.Index, r.Result, nil)
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, resp.Body)
	return nil
}
