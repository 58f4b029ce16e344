package entry

import (
	"net/http"

	"shallotcourse/internal/steps"
)

func (e *Entry) completions(w http.ResponseWriter, r *http.Request, account string) error {
	return e.model(w, r, account, false)
}

func (e *Entry) chat(w http.ResponseWriter, r *http.Request, account string) error {
	return e.model(w, r, account, true)
}

// model serves one model request.
func (e *Entry) model(w http.ResponseWriter, r *http.Request, account string, chat bool) error {
	e.meter.requests.Inc()
	begun := e.cfg.Timer.Now()
	m, err := readRequest(r, chat)
	if err != nil {
		return err
	}
	p, layers, err := e.plan(m, account, newID())
	if err != nil {
		return err
	}
	admitted, err := e.admit.enter(r.Context(), account, e.admit.model(p.Version), e.bounds.FirstToken)
	if err != nil {
		return err
	}
	defer admitted.release()
	end := begun.Add(e.bounds.Request)
	f := form{id: p.Request, model: m.Model, chat: chat, created: begun.Unix()}
	if !m.Stream {
		out := &whole{decoder: decoder{tokenizer: e.cfg.Tokenizer}}
		result, coord := e.run(r.Context(), job{p, layers, begun, end, admitted}, out)
		if result.Failure != nil {
			return e.admit.hint(admitted.gate, outcome(result.Failure, false))
		}
		text := out.text.String() + out.decoder.rest
		return writeJSON(w, f.answer(p, text, result.Reason, len(coord.Answer())))
	}
	out := &stream{
		form: f, decoder: decoder{tokenizer: e.cfg.Tokenizer}, w: w,
		control: http.NewResponseController(w), timer: e.cfg.Timer, timeout: e.bounds.WriteTimeout,
	}
	result, coord := e.run(r.Context(), job{p, layers, begun, end, admitted}, out)
	return e.finishStream(out, result, coord, m, admitted)
}

// finishStream ends a stream with its terminal event or an error event. A
// failure before the first event is reported by status.
func (e *Entry) finishStream(out *stream, end steps.End, c steps.Coord, m modelRequest, p *pass) error {
	if end.Failure != nil {
		f := e.admit.hint(p.gate, outcome(end.Failure, out.begun))
		if !out.begun {
			return f
		}
		e.meter.failed(f)
		out.fail(f)
		_ = out.flush()
		return nil
	}
	var u *usage
	if m.StreamOptions.IncludeUsage {
		u = newUsage(c.Plan(), len(c.Answer()))
	}
	if err := out.finish(end.Reason, u); err != nil {
		return nil // the caller has gone
	}
	_ = out.flush()
	return nil
}
