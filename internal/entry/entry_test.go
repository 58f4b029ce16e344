package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/resrc"
)

var (
	firstLayers = resrc.LayerRange{From: 0, To: 2}
	lastLayers  = resrc.LayerRange{From: 2, To: 4}
)

// Guards against an answer with missing or repeated tokens, streamed and not,
// in text and chat format.
func TestAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	f.linkAgent("a", firstLayers)
	f.linkAgent("b", lastLayers)
	resp, b := f.post("/v1/completions", `{"model":"oak","prompt":"xyz","max_tokens":5}`)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(b, `"text":"defgh"`))
	is.True(strings.Contains(b, `"finish_reason":"length"`))
	is.True(strings.Contains(b, `"usage":{"prompt_tokens":3,"completion_tokens":5,"total_tokens":8}`))
	resp, b = f.post("/v1/completions", `{"model":"oak","prompt":[1,2,3],"max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`)
	is.Equal(resp.Header.Get("Content-Type"), "text/event-stream")
	is.True(strings.Contains(b, `"text":"d"`) && strings.Contains(b, `"text":"e"`) && !strings.Contains(b, `"text":"f"`))
	is.True(strings.Contains(b, `"completion_tokens":2`))
	is.True(strings.HasSuffix(b, "data: [DONE]\n\n"))
	resp, b = f.post("/v1/chat/completions", `{"model":"oak","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":1}`)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(b, `"message":{"role":"assistant","content":"`))
}

// Guards against a failure without an outcome, an answer that ignores
// parameters of the request, and a 401 that reveals whether a path exists.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{BodyBytes: 200})
	for _, c := range []struct {
		path, body, code string
		status           int
		header           []string
	}{
		{"/v1/completions", `{"model":"oak","prompt":"x"}`, "Unauthorized", 401, []string{"Authorization", "Bearer key-2"}},
		{"/v1/nothing", `{}`, "Unauthorized", 401, []string{"Authorization", ""}},
		{"/v1/nothing", `{}`, "NotFound", 404, nil},
		{"/v1/completions", `{"model":"oak","prompt":"x"}`, "NoTarget", 503, nil},
		{"/v1/completions", `{"model":"elm","prompt":"x"}`, "NotFound", 404, nil},
		{"/v1/completions", `{`, "BadInput", 400, nil},
		{"/v1/completions", "{\"model\":\"oak\",\"prompt\":\"\xff\"}", "BadInput", 400, nil},
		{"/v1/completions", `{"model":"oak","prompt":"x","stop":null,"logit_bias":{}}`, "NoTarget", 503, nil},
		{"/v1/completions", `{"model":"oak","prompt":"x","stop":["end"]}`, "BadInput", 400, nil},
		{"/v1/completions", `{"model":"oak","prompt":"x","seed":1.5}`, "BadInput", 400, nil},
		{"/v1/completions", `{"prompt":"` + strings.Repeat("x", 300) + `"}`, "TooLarge", 413, nil},
		{"/services/ledger/rolls/../transfers", ``, "BadInput", 400, nil},
		{"/services/ledger/x", ``, "NoTarget", 503, nil},
	} {
		resp, b := f.post(c.path, c.body, c.header...)
		code, outcome := decodeError(t, b)
		is.Equal(code, c.code)
		is.Equal(resp.StatusCode, c.status)
		is.Equal(outcome, "NotRun")
		is.Equal(resp.Header.Get(fault.Header), "NotRun")
		is.Equal(resp.Header.Get("Retry-After") != "", c.status == 503) // only where a retry may succeed
		is.True(c.status == 503 || !strings.Contains(b, "retry_after"))
	}
}

// Guards against an answer that breaks off when a target fails in the middle,
// and against a failure that is reported although another target could
// continue.
func TestRecovery(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{Relink: 10 * time.Millisecond, Request: time.Second})
	f.linkAgent("a", firstLayers)
	b := f.linkAgent("b", lastLayers)
	c := f.linkAgent("c", lastLayers)
	b.crashAt = 7
	for range 8 {
		resp, body := f.post("/v1/completions", `{"model":"oak","prompt":"xyz","max_tokens":8}`)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(strings.Contains(body, `"text":"defghijk"`))
	}
	is.True(b.crashed) // the failure was triggered
	is.Equal(f.entry.openCount("a"), 0)
	c.crashAt = 5 // no target is left; the stream has to end with an error event
	_, body := f.post("/v1/completions", `{"model":"oak","prompt":"xyz","max_tokens":8,"stream":true}`)
	is.True(strings.Contains(body, `"text":"e"`))
	is.True(strings.Contains(body, "event: error\ndata: "))
	is.True(strings.Contains(body, `"outcome":"Partial"`))
}

// Guards against a request that is dispatched late in a drain because its body came
// slowly, and is cut when the process ends.
func TestDrainRefusesLateBodies(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{BalancerLag: 20 * time.Millisecond, Request: 300 * time.Millisecond})
	body, w := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, f.server.URL+"/v1/completions", body)
	is.NoErr(err)
	answered := make(chan string)
	go func() {
		_, b := f.do(req)
		answered <- b
	}()
	_, err = io.WriteString(w, `{"model":"oak",`)
	is.NoErr(err)
	for f.entry.OpenRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	drained := make(chan struct{})
	go func() { defer close(drained); f.entry.Drain(ctx) }()
	for !f.entry.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(w, `"prompt":"x"}`)
	is.NoErr(err)
	is.NoErr(w.Close())
	code, outcome := decodeError(t, <-answered)
	is.Equal(code, "Leaving")
	is.Equal(outcome, "NotRun")
	cancel()
	<-drained
}

// Guards against a drain that does not return, and against an entry that admits
// requests after it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{BalancerLag: 20 * time.Millisecond, Request: 300 * time.Millisecond})
	done := make(chan struct{})
	go func() { defer close(done); f.entry.Drain(context.Background()) }()
	<-done
	is.True(!f.entry.Ready())
	resp, b := f.post("/v1/completions", `{"model":"oak","prompt":"x"}`)
	code, _ := decodeError(t, b)
	is.Equal(code, "Leaving")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}
