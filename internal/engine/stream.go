package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"shallotcourse/internal/fault"
)

// Stream is one long request that carries many batches of steps: its body is a
// series of JSON arrays, and each step is answered by one line when it has run.
// A request for each batch took about half of an agent's processor time.
type Stream struct {
	body   *io.PipeWriter
	cancel context.CancelCauseFunc
}

// Stream begins a request for steps. Each is called for each answered step with
// its index, which counts all steps of the stream from 0. Ended is called once,
// after the last call of each; steps without an answer share its failure and
// may be sent again, since the engine keeps what it has run.
func (c *Client) Stream(each func(int, StepResult, error) error, ended func(error)) *Stream {
	ctx, cancel := context.WithCancelCause(context.Background())
	r, w := io.Pipe()
	s := &Stream{body: w, cancel: cancel}
	go func() {
		err := c.stream(ctx, r, each)
		s.Close(err)
		ended(err)
	}()
	return s
}

// Send writes steps. It blocks while the engine does not read.
func (s *Stream) Send(steps []BatchStep) error {
	b, err := json.Marshal(steps)
	if err != nil {
		return fault.New(fault.Internal, "steps do not encode").WithCause(err)
	}
	if _, err := s.body.Write(append(b, '\n')); err != nil {
		return fault.New(fault.Unavailable, "connection lost").WithOutcome(fault.Unknown).WithCause(err)
	}
	return nil
}

// Close ends the request and its connection. The reason is a failure of
// internal/fault, and is what Ended is called with.
func (s *Stream) Close(reason error) {
	s.cancel(reason)
	_ = s.body.CloseWithError(io.ErrClosedPipe)
}

func (c *Client) stream(ctx context.Context, body io.ReadCloser, each func(int, StepResult, error) error) error {
	defer func() { _ = body.Close() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/steps", body)
	if err != nil {
		return fault.New(fault.Internal, "engine address is not usable").WithCause(err)
	}
	resp, err := c.streams.Do(req)
	if err != nil {
		return lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return refusal(resp.StatusCode, b)
	}
	answers := json.NewDecoder(resp.Body)
	for {
		var r BatchResult
		if err := answers.Decode(&r); err != nil {
			return lost(ctx, err)
		}
		var failure error
		if r.Code != "" {
			failure = fault.New(fault.Code(r.Code), r.Detail)
		}
		if err := each(r.Index, r.Result, failure); err != nil {
			return err
		}
	}
}
