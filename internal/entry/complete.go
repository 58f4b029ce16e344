package entry

import (
	"net/http"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/steps"
)

func (e *Entry) completions(w *budget.Writer, r *http.Request, account string) error {
	return e.serveModel(w, r, account, false)
}

func (e *Entry) chatCompletions(w *budget.Writer, r *http.Request, account string) error {
	return e.serveModel(w, r, account, true)
}

// serveModel handles a completion or chat request.
func (e *Entry) serveModel(w *budget.Writer, r *http.Request, account string, chat bool) error {
	e.metrics.requests.Inc()
	start := e.cfg.Timer.Now()
	m, err := readRequest(r, chat)
	if err != nil {
		return err
	}
	p, layers, err := e.newParams(m, account, newID())
	if err != nil {
		return err
	}
	admitted, err := e.admission.admit(r.Context(), account, e.admission.modelGate(p.Version), e.bounds.FirstToken)
	if err != nil {
		return err
	}
	defer admitted.release()
	if err := budget.FromContext(r.Context()).BeginRun(); err != nil {
		return err
	}
	deadline := start.Add(e.bounds.Request)
	builder := responseBuilder{id: p.Request, model: m.Model, chat: chat, created: start.Unix()}
	if !m.Stream {
		out := &bufferedSink{decoder: textDecoder{tokenizer: e.cfg.Tokenizer}}
		result, coordinator := e.runSession(r.Context(), job{p, layers, start, deadline, admitted}, out)
		if result.Failure != nil {
			return e.admission.withRetryHint(admitted.gate, undeliveredOutcome(result.Failure, false))
		}
		text := out.text.String() + out.decoder.incomplete
		return writeJSON(r.Context(), w, builder.completeBody(p, text, result.Reason, len(coordinator.Answer())))
	}
	out := &streamSink{
		builder: builder, decoder: textDecoder{tokenizer: e.cfg.Tokenizer}, w: w, control: http.NewResponseController(w),
	}
	result, coordinator := e.runSession(r.Context(), job{p, layers, start, deadline, admitted}, out)
	return e.finishStream(out, result, coordinator, m, admitted)
}

// finishStream ends a stream with its terminal events or an error event. A
// failure before the first event is returned, to be reported by the HTTP
// status.
func (e *Entry) finishStream(out *streamSink, end steps.EndRequest, c steps.Coordinator, m modelRequest, admitted *admittedRequest) error {
	if end.Failure != nil {
		f := e.admission.withRetryHint(admitted.gate, undeliveredOutcome(end.Failure, out.started))
		if !out.started {
			return f
		}
		e.metrics.countFailure(f)
		out.writeError(f)
		_ = out.flush()
		return nil
	}
	var u *usage
	if m.StreamOptions.IncludeUsage {
		u = newUsage(c.Params(), len(c.Answer()))
	}
	if err := out.finish(end.Reason, u); err != nil {
		return nil // the caller has disconnected
	}
	_ = out.flush()
	return nil
}
