package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/timer"
)

const (
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 256
	// placeholder stands for the text in an encoded chunk; the names and
	// identifiers around it cannot contain spaces.
	placeholder = " text "
)

type (
	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	delta struct {
		Role    string  `json:"role,omitempty"`
		Content *string `json:"content,omitempty"`
	}

	// choice has the fields of all four forms: whole or chunk, text or chat.
	choice struct {
		Index        int     `json:"index"`
		Text         *string `json:"text,omitempty"`
		Message      *delta  `json:"message,omitempty"`
		Delta        *delta  `json:"delta,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}

	body struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	// form says how an answer is written.
	form struct {
		id      string
		model   string
		chat    bool
		created int64
	}

	// decoder turns tokens into text piece by piece, and keeps back the bytes
	// of a character that is not complete.
	decoder struct {
		tokenizer Tokenizer
		rest      string
	}

	// whole collects an answer.
	whole struct {
		decoder decoder
		text    strings.Builder
	}

	// stream writes an answer as server-sent events.
	stream struct {
		form    form
		decoder decoder
		w       http.ResponseWriter
		control *http.ResponseController
		timer   timer.Service
		timeout time.Duration
		// begun is true once the status line was written.
		begun bool
		dirty bool
		// before and after are the encoded chunk around its text, which alone
		// differs from token to token.
		before, after []byte
		// chunk and event are buffers that are used again.
		chunk, event []byte
	}
)

func (d *decoder) add(value uint32) string {
	s := d.rest + d.tokenizer.Decode([]uint32{value})
	cut := len(s)
	for i := 1; i <= utf8.UTFMax && i <= len(s); i++ {
		if b := s[len(s)-i]; utf8.RuneStart(b) {
			if !utf8.FullRuneInString(s[len(s)-i:]) {
				cut = len(s) - i
			}
			break
		}
	}
	d.rest = s[cut:]
	return s[:cut]
}

func (w *whole) token(value uint32) error {
	w.text.WriteString(w.decoder.add(value))
	return nil
}

func (w *whole) flush() error { return nil }

// answer returns the body of a complete answer.
func (f form) answer(p steps.Plan, text, reason string, tokens int) body {
	b := f.body("text_completion", "chat.completion")
	c := choice{FinishReason: &reason}
	if f.chat {
		c.Message = &delta{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	b.Choices, b.Usage = []choice{c}, newUsage(p, tokens)
	return b
}

// chunk returns the body of one event.
func (f form) chunk(text string, first bool, reason *string) body {
	b := f.body("text_completion", "chat.completion.chunk")
	c := choice{FinishReason: reason}
	switch {
	case !f.chat:
		c.Text = &text
	case reason != nil && text == "":
		c.Delta = &delta{}
	default:
		c.Delta = &delta{Content: &text}
		if first {
			c.Delta.Role = "assistant"
		}
	}
	b.Choices = []choice{c}
	return b
}

func (f form) body(text, chat string) body {
	b := body{ID: "cmpl-" + f.id, Object: text, Created: f.created, Model: f.model, Choices: []choice{}}
	if f.chat {
		b.ID, b.Object = "chatcmpl-"+f.id, chat
	}
	return b
}

func newUsage(p steps.Plan, tokens int) *usage {
	return &usage{PromptTokens: len(p.Prompt), CompletionTokens: tokens, TotalTokens: len(p.Prompt) + tokens}
}

func (s *stream) token(value uint32) error {
	piece := s.decoder.add(value)
	if piece == "" {
		return nil
	}
	if !s.begun {
		return s.send("", s.form.chunk(piece, true, nil))
	}
	data, err := s.encode(piece)
	if err != nil {
		return err
	}
	return s.raw("", data)
}

// encode returns the chunk for a text, which is much cheaper than encoding all
// of its fields again.
func (s *stream) encode(piece string) ([]byte, error) {
	if s.before == nil {
		b, err := json.Marshal(s.form.chunk(placeholder, false, nil))
		if err != nil {
			return nil, fault.New(fault.Internal, "cannot encode event").WithCause(err)
		}
		s.before, s.after, _ = bytes.Cut(b, []byte(`"`+placeholder+`"`))
	}
	text, err := json.Marshal(piece)
	if err != nil {
		return nil, fault.New(fault.Internal, "cannot encode event").WithCause(err)
	}
	s.chunk = append(append(append(s.chunk[:0], s.before...), text...), s.after...)
	return s.chunk, nil
}

// finish writes the terminal events of a complete answer.
func (s *stream) finish(reason string, u *usage) error {
	if err := s.send("", s.form.chunk(s.decoder.rest, !s.begun, &reason)); err != nil {
		return err
	}
	if u != nil {
		b := s.form.body("text_completion", "chat.completion.chunk")
		b.Usage = u
		if err := s.send("", b); err != nil {
			return err
		}
	}
	return s.raw("", []byte("[DONE]"))
}

// fail ends a stream that has begun with an error event.
func (s *stream) fail(f *fault.Error) { _ = s.raw("error", errorBody(f)) }

func (s *stream) send(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode event").WithCause(err)
	}
	return s.raw(name, b)
}

func (s *stream) raw(name string, data []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	// A caller that does not read must not hold the request for ever.
	_ = s.control.SetWriteDeadline(s.timer.Now().Add(s.timeout))
	s.dirty = true
	event := s.event[:0]
	if name != "" {
		event = append(append(append(event, "event: "...), name...), '\n')
	}
	s.event = append(append(append(event, "data: "...), data...), "\n\n"...)
	_, err := s.w.Write(s.event)
	return err
}

func (s *stream) flush() error {
	if !s.dirty {
		return nil
	}
	s.dirty = false
	return s.control.Flush()
}
