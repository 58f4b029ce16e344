package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"shallotcourse/internal/fault"
)

// Stream is one long-lived HTTP request that carries many batches of steps. The
// request body is a sequence of JSON arrays, and the response has one line per
// step, written when the step has run. Sending each batch as its own request
// took about half of an agent's CPU time.
type Stream struct {
	body   *io.PipeWriter
	cancel context.CancelCauseFunc
}

// Stream starts a request for steps. onResult is called for each result with
// the index of its step, which counts all steps of the stream from 0. An error
// from onResult ends the stream. onEnd is called once, after the last call of
// onResult; its error applies to all steps without a result. These may be sent
// again, because the engine keeps the results of what it has run.
func (c *Client) Stream(onResult func(int, StepResult, error) error, onEnd func(error)) *Stream {
	ctx, cancel := context.WithCancelCause(context.Background())
	r, w := io.Pipe()
	s := &Stream{body: w, cancel: cancel}
	go func() {
		err := c.runStream(ctx, r, onResult)
		s.Close(err)
		onEnd(err)
	}()
	return s
}

// Send writes a batch of steps. It blocks while the engine does not read.
func (s *Stream) Send(steps []BatchStep) error {
	b, err := json.Marshal(steps)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode steps").WithCause(err)
	}
	if _, err := s.body.Write(append(b, '\n')); err != nil {
		return fault.New(fault.Unavailable, "connection lost").WithOutcome(fault.Unknown).WithCause(err)
	}
	return nil
}

// Close ends the request and its connection. The reason must be a fault.Error;
// it is passed to onEnd.
func (s *Stream) Close(reason error) {
	s.cancel(reason)
	_ = s.body.CloseWithError(io.ErrClosedPipe)
}

func (c *Client) runStream(ctx context.Context, body io.ReadCloser, onResult func(int, StepResult, error) error) error {
	defer func() { _ = body.Close() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/steps", body)
	if err != nil {
		return fault.New(fault.Internal, "invalid engine URL").WithCause(err)
	}
	resp, err := c.noReuseClient.Do(req)
	if err != nil {
		return transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return responseError(resp.StatusCode, b)
	}
	results := json.NewDecoder(resp.Body)
	for {
		var r BatchResult
		if err := results.Decode(&r); err != nil {
			return transportError(ctx, err)
		}
		var failure error
		if r.Code != "" {
			failure = fault.New(fault.Code(r.Code), r.Detail)
		}
		if err := onResult(r.Index, r.Result, failure); err != nil {
			return err
		}
	}
}
