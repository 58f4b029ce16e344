package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/topo"
)

// lateEnd sends a stream whose end comes some time after its only event.
type lateEnd struct{ after time.Duration }

// RoundTrip implements http.RoundTripper.
func (l lateEnd) RoundTrip(req *http.Request) (*http.Response, error) {
	body, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		time.Sleep(l.after)
		_ = w.Close()
	}()
	h := http.Header{"Request-Id": {req.Header.Get("Request-Id")}, "Response-Seal": {"s"}, "Content-Type": {"text/event-stream"}}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: body, ContentLength: -1, TransferEncoding: []string{"chunked"}}, nil
}

// Guards against a complete stream that reaches its caller without its end, because the
// time for the write of its last event is over by then.
func TestStreamEndsLongAfterItsLastEvent(t *testing.T) {
	is := is.New(t)
	s := newAnswerSite(t)
	s.server.Settings.StallLimit = time.Minute
	s.server.Client = &http.Client{Transport: lateEnd{5500 * time.Millisecond}}
	s.listed = []topo.Target{{ID: "a", Started: 1, Service: "llm", Address: "a:1", DataCentre: "x", Slots: 8, Pace: 1, Card: "card", Held: topo.Layers{To: 8}}}
	s.targets["a:1"] = &answeringTarget{id: "a"}
	s.list()
	callers := httptest.NewServer(s.server)
	defer callers.Close()
	req, err := http.NewRequest(http.MethodGet, callers.URL+"/draft/x", nil)
	is.NoErr(err)
	req.Host = "site.example"
	req.Header.Set("Request-Id", "r1")
	resp, err := callers.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err) // the end has arrived
	is.Equal(string(body), "id: 1\ndata: x\n\n")
}
