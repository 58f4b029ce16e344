package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/platform/sims"
)

const (
	// resetHead is the head of a response without a length. ID stands for that of the
	// request.
	resetHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n\r\n"
	// uploadTimeout is the time that a request with a long body may take.
	uploadTimeout = 20 * time.Second
)

// uploadSite returns a site that takes long bodies.
func uploadSite(t *testing.T) (*sims.Site, string) {
	t.Helper()
	site := sims.NewSite()
	t.Cleanup(site.Close)
	address, _ := site.Serve(site.Store)
	site.SetLimits(sims.Limits{
		HeaderBytes: 16384, BodyBytes: fraw.UploadBytes, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, RouteTimeout: uploadTimeout,
	})
	site.WriteConfig(testKey)
	return site, address
}

// addRawTarget adds a target that holds all layers, or a plain one, and that sends a
// response before it has read the request.
func addRawTarget(t *testing.T, site *sims.Site, id, service, response string, send func(*net.TCPConn, string)) {
	t.Helper()
	address := fraw.Start(t, func(conn *net.TCPConn, r *http.Request) {
		if r.URL.Path == "/shallotcourse/report" {
			report := `{"born":1,"pace":1,"layers":{"from":0,"to":8},"kvTotal":1e9}`
			fraw.End(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(report), report))
			return
		}
		send(conn, strings.ReplaceAll(response, "ID", r.Header.Get("Request-Id")))
	})
	row := map[string]any{
		"service": service, "address": address, "zone": "x", "slots": 64, "state": "ready", "born": 1, "sequence": 1, "kind": "card",
	}
	if service == "llm" {
		row["layers"] = map[string]any{"from": 0, "to": 8, "version": 1}
	}
	site.Store.PutJSON("servers", id, row)
}

func (g *testGateway) upload(path string) testResponse {
	return g.call(context.Background(), http.MethodPost, path, requestID(), strings.Repeat("x", fraw.UploadBytes), "Deadline-Ms", fmt.Sprint(uploadTimeout.Milliseconds()))
}

func (g *testGateway) waitListed(t *testing.T, targets int) {
	t.Helper()
	eventually(t, "the targets are listed", func() bool { return g.ready() == nil && g.fleets.Section().Value().Len() == targets })
}

// Guards against a part of a response that callers get as the whole one, because its
// target reset the connection while the request was being sent to it.
func TestGatewayDoesNotCompleteResetAnswers(t *testing.T) {
	site, store := uploadSite(t)
	for id, service := range map[string]string{"c1": "plain", "c2": "llm"} {
		addRawTarget(t, site, id, service, resetHead+"id: 1\ndata: x\n\n", fraw.Reset)
	}
	g := startGateway(t, "g1", store, nil)
	g.waitListed(t, 2)
	for _, path := range []string{"/look/x", "/register/x", "/draft/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			for range resetRounds {
				a := g.upload(path)
				is.True(a.err != nil || a.status == http.StatusBadGateway)
				is.True(a.err == nil || path == "/draft/x") // plain responses are refused
			}
		})
	}
}

// Guards against the same in responses that continue a stream, at the target that it is
// resumed at or at one that stands by for a silent one.
func TestGatewayDoesNotCompleteResetContinuations(t *testing.T) {
	for name, fail := range map[string]func(*sims.Engine){
		"resumed": (*sims.Engine).Kill,
		"standby": func(e *sims.Engine) { e.FallSilent(3 * time.Second) },
	} {
		for round := range resetRounds / 4 {
			t.Run(fmt.Sprint(name, round), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				site, store := uploadSite(t)
				one := site.AddEngine("a", "x", sims.Model{Layers: 8, Token: 20 * time.Millisecond}).SetLayers(0, 8)
				g := startGateway(t, "g1", store, nil)
				g.waitListed(t, 1)
				answer := make(chan testResponse)
				go func() { answer <- g.upload("/draft/x?events=1000") }()
				eventually(t, "the target has begun", func() bool { return one.Running() == 1 })
				addRawTarget(t, site, "b", "llm", resetHead+"id: 999\ndata: x\n\n", fraw.Reset)
				g.waitListed(t, 2)
				fail(one)
				a := <-answer
				is.Equal(a.status, http.StatusOK)
				is.True(strings.HasSuffix(eventIDs(a.body), " 999")) // the other target has gone on
				is.True(a.err != nil)                                // and the stream lacks an event
			})
		}
	}
}

// Guards against sound responses that are refused because the target has not read the
// request, or reads on.
func TestGatewayPassesOnEarlyAnswers(t *testing.T) {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	own := "Content-Type: text/event-stream\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n"
	for name, c := range map[string]struct {
		response string
		status   int
	}{
		"without a length":           {"HTTP/1.1 200 OK\r\n" + own + "\r\n" + events, 200},
		"with a length":              {fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", own, len(events), events), 200},
		"a failure":                  {fmt.Sprintf("HTTP/1.1 413 Content Too Large\r\n%sContent-Length: %d\r\n\r\n%s", own, len(events), events), 413},
		"a failure without a length": {"HTTP/1.1 404 Not Found\r\n" + own + "\r\n" + events, 404},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			site, store := uploadSite(t)
			for id, service := range map[string]string{"c1": "plain", "c2": "llm"} {
				addRawTarget(t, site, id, service, c.response, fraw.End)
			}
			g := startGateway(t, "g1", store, nil)
			g.waitListed(t, 2)
			for range resetRounds / 4 {
				for _, path := range []string{"/look/x", "/register/x", "/draft/x"} {
					a := g.upload(path)
					is.NoErr(a.err)
					is.Equal(a.status, c.status)
					is.Equal(a.body, events)
				}
			}
		})
	}
}
