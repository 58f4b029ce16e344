package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

const (
	// cutHeader names the byte of its response after which a target closes the
	// connection, and framingHeader the framing of that response.
	cutHeader     = "Test-Cut"
	framingHeader = "Test-Framing"
	wholeBody     = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
)

// framings holds the ways in which a response may be framed, as header and body.
var framings = map[string]struct{ header, body string }{
	"length":   {fmt.Sprintf("Content-Length: %d\r\n", len(wholeBody)), wholeBody},
	"chunked":  {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wholeBody), wholeBody)},
	"unframed": {"", wholeBody},
}

// addCuttingTargets adds a plain target and one that holds a model, both of which cut
// their responses as the requests say.
func addCuttingTargets(site *sims.Site) {
	address, _ := site.Serve(http.HandlerFunc(answerAndCut))
	for id, service := range map[string]string{"c1": "plain", "c2": "llm"} {
		row := map[string]any{
			"service": service, "address": address, "zone": "x", "slots": 64, "state": "ready", "born": 1, "sequence": 1, "kind": "card",
		}
		if service == "llm" {
			row["layers"] = map[string]any{"from": 0, "to": 8, "version": 1}
		}
		site.Store.PutJSON("servers", id, row)
	}
}

func answerAndCut(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/shallotcourse/report" {
		_, _ = io.WriteString(w, `{"born":1,"pace":1,"layers":{"from":0,"to":8},"kvTotal":1e9}`)
		return
	}
	response := wholeResponse(r.Header.Get("Request-Id"), r.Header.Get(framingHeader))
	cut, err := strconv.Atoi(r.Header.Get(cutHeader))
	if err != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, response[:cut])
}

func wholeResponse(id, framing string) string {
	f := framings[framing]
	return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id + "\r\nResponse-Seal: s\r\n" + f.header + "\r\n" + f.body
}

// Guards against a success that looks complete although the target stopped in the
// middle of its response and closed the connection.
func TestGatewayDoesNotCompleteCutAnswers(t *testing.T) {
	site := sims.NewSite()
	t.Cleanup(site.Close)
	store, _ := site.Serve(site.Store)
	site.WriteConfig(testKey)
	addCuttingTargets(site)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	for framing := range framings {
		for _, path := range []string{"/register/x", "/draft/x"} {
			t.Run(framing+path, func(t *testing.T) {
				whole := wholeResponse("r0000", framing)
				head := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
				answers := make([]testResponse, len(whole)+1)
				var wg sync.WaitGroup
				slots := make(chan struct{}, 16)
				for cut := range answers {
					slots <- struct{}{}
					wg.Go(func() {
						defer func() { <-slots }()
						answers[cut] = g.call(context.Background(), http.MethodPost, path, requestID(), "", cutHeader, fmt.Sprint(cut), framingHeader, framing)
					})
				}
				wg.Wait()
				for cut, a := range answers {
					complete := a.err == nil && a.status == http.StatusOK
					switch {
					case cut == len(whole):
						is.New(t).True(complete && a.body == wholeBody)
					case framing == "unframed" && cut > head:
						// Where such a body ends is known to the target alone. It must
						// not be given a frame that vouches for it.
						if complete && path == "/register/x" && !a.unframed {
							t.Errorf("cut after %d of %d bytes: status 200 in a frame of its own with the body %q", cut, len(whole), a.body)
						}
					case complete:
						t.Errorf("cut after %d of %d bytes: status 200 with the body %q", cut, len(whole), a.body)
					}
				}
			})
		}
	}
}
