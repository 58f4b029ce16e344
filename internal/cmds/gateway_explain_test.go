package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/proxy"
	"shallotcourse/platform/sims"
)

// runExplain runs the command against the gateway.
func (g *testGateway) runExplain(t *testing.T, flags ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(g.explain))
	defer server.Close()
	root, out := NewRoot(), &strings.Builder{}
	root.SetArgs(append([]string{"gateway", "explain", server.Listener.Addr().String()}, flags...))
	root.SetOut(out)
	root.SetErr(out)
	err := root.Execute()
	return out.String(), err
}

// Guards against an explanation that names another target than the one that the next
// request goes to, for plain and stream routes, beside a stream that is being answered.
func TestExplainedRequestsGoWhereItSays(t *testing.T) {
	is := is.New(t)
	site, store, plain := testSite(t)
	engines := map[string]*sims.Engine{}
	for i, held := range [][2]int{{0, 4}, {0, 4}, {4, 8}, {0, 8}} {
		id, dc := fmt.Sprintf("e%d", i), []string{"x", "x", "x", "y"}[i]
		engines[id] = site.AddEngine(id, dc, sims.Model{Layers: 8, Token: 10 * time.Millisecond}).SetLayers(held[0], held[1])
	}
	g := startGateway(t, "g1", store, func(s *conf.Gateway) { s.FirstStart = false }).waitReady(t)
	eventually(t, "a stream is served", func() bool { return g.get("/draft/x?events=2").status == http.StatusOK })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan testResponse, 1)
	go func() { done <- g.call(ctx, http.MethodGet, "/draft/x?events=10000", requestID(), "") }()
	eventually(t, "the stream runs", func() bool { return g.server.OpenRequests() == 1 })
	for range 10 {
		for _, path := range []string{"/draft/x", "/look/x"} {
			id := requestID()
			text, err := g.runExplain(t, "--host", "site.example", "--path", path, "--account", "acme", "--request", id, "--json")
			is.NoErr(err)
			var e proxy.Explanation
			is.NoErr(json.Unmarshal([]byte(text), &e))
			is.Equal(e.Decision.Fate, proxy.Sends)
			is.Equal(e.Account, "acme")
			first := e.Decision.Hops[0].Target
			is.Equal(g.call(context.Background(), http.MethodGet, path+"?events=2", id, "").status, http.StatusOK)
			sent := 0
			for name, engine := range engines {
				for _, a := range engine.Requests() {
					if a.ID == id {
						is.Equal(name, first)
						sent++
					}
				}
			}
			for i, target := range plain {
				if n := target.Runs(id); n > 0 {
					is.Equal([]string{"p1", "p2"}[i], first)
					sent += n
				}
			}
			is.Equal(sent, 1)
		}
	}
	text, err := g.runExplain(t, "--host", "site.example", "--path", "/draft/x", "--account", "acme")
	is.NoErr(err)
	for _, want := range []string{"Sends", "/draft/", "llm", "acme", "chosen", "e3", "MAX FILL"} {
		is.True(strings.Contains(text, want)) // want
	}
	cancel()
	<-done
}

// Guards against questions that are answered although they describe no request, errors
// without a code, and keys on the command line, which others can read.
func TestExplainBadInput(t *testing.T) {
	is := is.New(t)
	_, store, _ := testSite(t)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	for _, flags := range [][]string{
		{}, {"--host", "site.example"}, {"--host", "site.example", "--path", "look/x"}, {"--host", "site.example", "--path", "/look/x?a=b"},
		{"--host", "site.example", "--path", "/look/x", "--prompt-tokens", "-1"}, {"--host", "site.example", "--path", "/look/x", "--answer-hint", "many"},
		{"--host", "site.example", "--path", "/look/x", "--account", "nobody"},
	} {
		_, err := g.runExplain(t, flags...)
		is.True(fault.Is(err, fault.BadInput)) // flags
	}
	_, err := g.runExplain(t, "--host", "site.example", "--path", "/look/x", "--key", testKey)
	is.True(err != nil)
	text, err := g.runExplain(t, "--host", "site.example", "--path", "/look/x")
	is.NoErr(err)
	is.True(strings.Contains(text, string(fault.Unauthorized)))
	w := httptest.NewRecorder()
	g.explain(w, httptest.NewRequest(http.MethodGet, "/explain?host=site.example&path=/look/x&paht=/", nil))
	is.Equal(w.Code, http.StatusBadRequest)
	root := NewRoot()
	root.SetArgs([]string{"gateway", "explain", "127.0.0.1:1", "--host", "site.example", "--path", "/look/x"})
	is.True(fault.Is(root.Execute(), fault.Unavailable))
}
