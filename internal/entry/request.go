package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/store"
	"shallotcourse/pkg/resrc"
)

type (
	// messageContent is the content of a chat message: a string, or a list of
	// text parts, which are joined.
	messageContent string

	// prompt is a string or a list of tokens.
	prompt struct {
		text   string
		tokens []uint32
	}

	// seed is a signed or unsigned 64-bit integer. A negative number is
	// converted to the unsigned one with the same bits.
	seed uint64

	message struct {
		Role    string         `json:"role"`
		Content messageContent `json:"content"`
	}

	// modelRequest holds the fields of both request formats that have an effect
	// here.
	modelRequest struct {
		Model               string    `json:"model"`
		Prompt              prompt    `json:"prompt"`
		Messages            []message `json:"messages"`
		MaxTokens           *int      `json:"max_tokens"`
		MaxCompletionTokens *int      `json:"max_completion_tokens"`
		N                   *int      `json:"n"`
		Seed                *seed     `json:"seed"`
		Stream              bool      `json:"stream"`
		StreamOptions       struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		// The fields below would change the answer and are not supported.
		Stop           unsupported `json:"stop"`
		Tools          unsupported `json:"tools"`
		ResponseFormat unsupported `json:"response_format"`
		LogitBias      unsupported `json:"logit_bias"`
		Logprobs       unsupported `json:"logprobs"`
		Echo           unsupported `json:"echo"`
		Suffix         unsupported `json:"suffix"`
	}

	// unsupported accepts only the values in noEffectValues.
	unsupported struct{}
)

// noEffectValues are the values of an unsupported field that have no effect on
// the answer.
var noEffectValues = []string{"null", "false", "[]", "{}", `""`, `{"type":"text"}`}

// UnmarshalJSON implements json.Unmarshaler.
func (unsupported) UnmarshalJSON(b []byte) error {
	if slices.Contains(noEffectValues, string(b)) {
		return nil
	}
	return fault.Newf(fault.BadInput, "field with the value %.40s is not supported", b)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *messageContent) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) == nil {
		*t = messageContent(s)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fault.Invalid("messages.content.type", p.Type, "text")
		}
		all.WriteString(p.Text)
	}
	*t = messageContent(all.String())
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *prompt) UnmarshalJSON(b []byte) error {
	if json.Unmarshal(b, &p.text) == nil {
		return nil
	}
	return json.Unmarshal(b, &p.tokens)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *seed) UnmarshalJSON(b []byte) error {
	if n, err := strconv.ParseInt(string(b), 10, 64); err == nil {
		*s = seed(n)
		return nil
	}
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil {
		return fault.Invalid("seed", string(b), "a 64-bit integer")
	}
	*s = seed(n)
	return nil
}

// newParams validates a request and returns its parameters, and the number of
// layers of the model version.
func (e *Entry) newParams(r modelRequest, account, id string) (steps.Params, int, error) {
	snap := e.cfg.Snapshot.Value()
	model, adapter, err := findModel(snap, r.Model)
	if err != nil {
		return steps.Params{}, 0, err
	}
	version, ok := store.Spec[resrc.ModelVersion](snap, model.Version)
	if !ok {
		return steps.Params{}, 0, fault.Newf(fault.NotFound, "version %s of the model does not exist", model.Version)
	}
	if r.N != nil && *r.N != 1 {
		return steps.Params{}, 0, fault.Invalid("n", *r.N, "1")
	}
	tokens := e.promptTokens(r)
	if len(tokens) == 0 {
		return steps.Params{}, 0, fault.Invalid("prompt", "", "at least one token")
	}
	limit, err := maxTokens(r, model.MaxTokens-len(tokens))
	if err != nil {
		return steps.Params{}, 0, err
	}
	p := steps.Params{
		Request: id, Account: account, Version: model.Version, Adapter: adapter,
		Prompt: tokens, Seed: rand.Uint64(), MaxTokens: limit,
	}
	if r.Seed != nil {
		p.Seed = uint64(*r.Seed)
	}
	return p, version.Layers, nil
}

// findModel returns the model with the given name, or the adapter with that
// name and its model.
func findModel(snap store.Snapshot, name string) (resrc.Model, string, error) {
	if m, ok := store.Spec[resrc.Model](snap, name); ok {
		return m, "", nil
	}
	unknown := fault.Newf(fault.NotFound, "model %q does not exist", name)
	unknown.Field = "model"
	a, ok := store.Spec[resrc.Adapter](snap, name)
	if !ok {
		return resrc.Model{}, "", unknown
	}
	v, ok := store.Spec[resrc.ModelVersion](snap, a.Version)
	if !ok {
		return resrc.Model{}, "", unknown
	}
	m, ok := store.Spec[resrc.Model](snap, v.Model)
	if !ok {
		return resrc.Model{}, "", unknown
	}
	// An adapter belongs to one version, which may not be the current one of
	// the model.
	m.Version = a.Version
	return m, name, nil
}

func (e *Entry) promptTokens(r modelRequest) []uint32 {
	switch {
	case len(r.Messages) > 0:
		return e.cfg.Tokenizer.Encode(chatText(r.Messages))
	case len(r.Prompt.tokens) > 0:
		return r.Prompt.tokens
	case r.Prompt.text != "":
		return e.cfg.Tokenizer.Encode(r.Prompt.text)
	}
	return nil
}

// chatText renders messages as one prompt, which ends where the answer begins.
func chatText(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString("<|" + m.Role + "|>\n" + string(m.Content) + "\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// maxTokens returns the maximum number of tokens of the answer; available is
// what the prompt leaves of the model's limit.
func maxTokens(r modelRequest, available int) (int, error) {
	if available < 1 {
		return 0, fault.Newf(fault.TooLarge, "prompt fills the maximum length of the model; no tokens are left for the answer")
	}
	wanted := r.MaxCompletionTokens
	if wanted == nil {
		wanted = r.MaxTokens
	}
	if wanted == nil {
		return min(available, defaultMaxTokens), nil
	}
	if *wanted < 1 {
		return 0, fault.Invalid("max_tokens", *wanted, "1 or more")
	}
	return min(available, *wanted), nil
}

// readRequest decodes a request body. A chat request must have messages; those
// of a text completion request are ignored.
func readRequest(r *http.Request, chat bool) (modelRequest, error) {
	var m modelRequest
	if err := readJSON(r, &m); err != nil {
		return m, err
	}
	if chat && len(m.Messages) == 0 {
		return m, fault.Invalid("messages", nil, "at least one message")
	}
	if !chat {
		m.Messages = nil
	}
	return m, nil
}

func newID() string { return uuid.NewString() }
