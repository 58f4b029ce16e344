package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/steps"
)

const (
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 256
	// textPlaceholder stands for the text in the template of a chunk. The names
	// and identifiers around it cannot contain spaces, so it occurs only once.
	textPlaceholder = " text "
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

	// choice has the fields of all four formats: complete answer or chunk, text
	// completion or chat.
	choice struct {
		Index        int     `json:"index"`
		Text         *string `json:"text,omitempty"`
		Message      *delta  `json:"message,omitempty"`
		Delta        *delta  `json:"delta,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}

	responseBody struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	// responseBuilder builds the response bodies of one request.
	responseBuilder struct {
		id      string
		model   string
		chat    bool
		created int64
	}

	// textDecoder converts tokens to text one by one, and holds back the bytes
	// of an incomplete UTF-8 sequence.
	textDecoder struct {
		tokenizer  Tokenizer
		incomplete string
	}

	// bufferedSink collects an answer that is sent as a single response.
	bufferedSink struct {
		decoder textDecoder
		text    strings.Builder
	}

	// streamSink writes an answer as server-sent events.
	streamSink struct {
		builder responseBuilder
		decoder textDecoder
		// w bounds the time that a caller who does not read may take.
		w       http.ResponseWriter
		control *http.ResponseController
		// started is true once the header has been written.
		started bool
		// unflushed is true while events wait in the buffer of the HTTP server.
		unflushed bool
		// chunkPrefix and chunkSuffix are the JSON of a chunk around its text,
		// the only part that differs from token to token.
		chunkPrefix, chunkSuffix []byte
		// chunkBuf and eventBuf are reused buffers.
		chunkBuf, eventBuf []byte
	}
)

// decode returns the text that the token completes; it may be empty.
func (d *textDecoder) decode(value uint32) string {
	s := d.incomplete + d.tokenizer.Decode([]uint32{value})
	cut := len(s)
	for i := 1; i <= utf8.UTFMax && i <= len(s); i++ {
		if b := s[len(s)-i]; utf8.RuneStart(b) {
			if !utf8.FullRuneInString(s[len(s)-i:]) {
				cut = len(s) - i
			}
			break
		}
	}
	d.incomplete = s[cut:]
	return s[:cut]
}

func (w *bufferedSink) writeToken(value uint32) error {
	w.text.WriteString(w.decoder.decode(value))
	return nil
}

func (w *bufferedSink) flush() error { return nil }

// completeBody returns the body of an answer that is not streamed.
func (r responseBuilder) completeBody(p steps.Params, text, reason string, tokens int) responseBody {
	b := r.newBody("text_completion", "chat.completion")
	c := choice{FinishReason: &reason}
	if r.chat {
		c.Message = &delta{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	b.Choices, b.Usage = []choice{c}, newUsage(p, tokens)
	return b
}

// chunkBody returns the body of one event of a streamed answer.
func (r responseBuilder) chunkBody(text string, first bool, reason *string) responseBody {
	b := r.newBody("text_completion", "chat.completion.chunk")
	c := choice{FinishReason: reason}
	switch {
	case !r.chat:
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

// newBody returns a body without choices; text and chat are the object names in
// the two formats.
func (r responseBuilder) newBody(text, chat string) responseBody {
	b := responseBody{ID: "cmpl-" + r.id, Object: text, Created: r.created, Model: r.model, Choices: []choice{}}
	if r.chat {
		b.ID, b.Object = "chatcmpl-"+r.id, chat
	}
	return b
}

func newUsage(p steps.Params, tokens int) *usage {
	return &usage{PromptTokens: len(p.Prompt), CompletionTokens: tokens, TotalTokens: len(p.Prompt) + tokens}
}

func (s *streamSink) writeToken(value uint32) error {
	text := s.decoder.decode(value)
	if text == "" {
		return nil
	}
	if !s.started {
		return s.writeJSONEvent("", s.builder.chunkBody(text, true, nil))
	}
	data, err := s.encodeChunk(text)
	if err != nil {
		return err
	}
	return s.writeEvent("", data)
}

// encodeChunk returns the JSON of a chunk with the text. It reuses the encoded
// template, which is much cheaper than to encode all fields again. The result
// is valid until the next call.
func (s *streamSink) encodeChunk(text string) ([]byte, error) {
	if s.chunkPrefix == nil {
		b, err := json.Marshal(s.builder.chunkBody(textPlaceholder, false, nil))
		if err != nil {
			return nil, fault.New(fault.Internal, "cannot encode server-sent event").WithCause(err)
		}
		s.chunkPrefix, s.chunkSuffix, _ = bytes.Cut(b, []byte(`"`+textPlaceholder+`"`))
	}
	encoded, err := json.Marshal(text)
	if err != nil {
		return nil, fault.New(fault.Internal, "cannot encode server-sent event").WithCause(err)
	}
	s.chunkBuf = append(append(append(s.chunkBuf[:0], s.chunkPrefix...), encoded...), s.chunkSuffix...)
	return s.chunkBuf, nil
}

// finish writes the terminal events of a complete answer.
func (s *streamSink) finish(reason string, u *usage) error {
	if err := s.writeJSONEvent("", s.builder.chunkBody(s.decoder.incomplete, !s.started, &reason)); err != nil {
		return err
	}
	if u != nil {
		b := s.builder.newBody("text_completion", "chat.completion.chunk")
		b.Usage = u
		if err := s.writeJSONEvent("", b); err != nil {
			return err
		}
	}
	return s.writeEvent("", []byte("[DONE]"))
}

// writeError ends a stream that has started with an error event.
func (s *streamSink) writeError(f *fault.Error) { _ = s.writeEvent("error", errorBody(f)) }

// writeJSONEvent writes v as an event; the event is unnamed if name is empty.
func (s *streamSink) writeJSONEvent(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode server-sent event").WithCause(err)
	}
	return s.writeEvent(name, b)
}

// writeEvent writes the header before the first event, and an event.
func (s *streamSink) writeEvent(name string, data []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	s.unflushed = true
	event := s.eventBuf[:0]
	if name != "" {
		event = append(append(append(event, "event: "...), name...), '\n')
	}
	s.eventBuf = append(append(append(event, "data: "...), data...), "\n\n"...)
	_, err := s.w.Write(s.eventBuf)
	return err
}

func (s *streamSink) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	return s.control.Flush()
}
