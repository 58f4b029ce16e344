package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// Guards against streams that broke off and in which callers find what the next
// target responded instead of their events: the text or the head of an error,
// events twice, or a proper end without the rest.
func TestGatewayKeepsErrorsOutOfStreams(t *testing.T) {
	const (
		own    = "Request-Id: ID\r\nResponse-Seal: seal-x\r\n"
		events = "Content-Type: text/event-stream\r\n" + own
		ok     = "HTTP/1.1 200 OK\r\n"
		head   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nodd text"
	)
	framed := func(text string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text) }
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	status := func(status string) string { return "HTTP/1.1 " + status + "\r\n" + own }
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }
	chunked := ok + events + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, response string
		// want holds the events that callers get.
		want string
		// whole is true if the response completes the stream.
		whole bool
	}{
		{"the rest", chunked + chunk(event(5)) + chunk(event(6)) + "0\r\n\r\n", "1 2 3 4 5 6", true},
		{"no rest", chunked + "0\r\n\r\n", "1 2 3 4", true},
		{"status 500 with a length", status("500 Internal Server Error") + framed("odd text"), "1 2 3 4", false},
		{"status 500 without a length", status("500 Internal Server Error") + "\r\nodd text", "1 2 3 4", false},
		{"status 500 in chunks", status("500 Internal Server Error") + "Transfer-Encoding: chunked\r\n\r\n" + chunk("odd text\n\n") + "0\r\n\r\n", "1 2 3 4", false},
		{"status 400", status("400 Bad Request") + framed("odd text\n\n"), "1 2 3 4", false},
		{"status 404 with events", status("404 Not Found") + "Content-Type: text/event-stream\r\n" + framed("data: odd text\n\n"), "1 2 3 4", false},
		{"status 302", status("302 Found") + "Location: /odd\r\n" + framed("odd text\n\n"), "1 2 3 4", false},
		{"status 206", status("206 Partial Content") + framed(event(5)), "1 2 3 4", false},
		{"status 204", status("204 No Content") + "\r\n", "1 2 3 4", false},
		{"status 000", status("000 None") + "Content-Type: text/event-stream\r\n" + framed(event(5)), "1 2 3 4", false},
		{"a blank in the name of a field", ok + events + "Odd Name: x\r\n" + framed(event(5)), "1 2 3 4", false},
		{"a blank before the name of a field", ok + events + " Odd: x\r\n" + framed(event(5)), "1 2 3 4", false},
		{"status 500 after 103", "HTTP/1.1 103 Early Hints\r\nLink: odd\r\n\r\n" + status("500 Internal Server Error") + framed("odd text"), "1 2 3 4", false},
		{"status 101", status("101 Switching Protocols") + "Connection: upgrade\r\nUpgrade: odd\r\n\r\nodd text\n\n", "1 2 3 4", false},
		{"JSON", ok + own + "Content-Type: application/json\r\n" + framed(`{"error":"odd text"}`+"\n\n"), "1 2 3 4", false},
		{"JSON without a type", ok + own + framed(`{"error":"odd text"}`+"\n\n"), "1 2 3 4", false},
		{"JSON as a stream", ok + events + framed(`{"error":"odd text"}`+"\n\n"), "1 2 3 4", false},
		{"text as a stream", ok + events + framed("odd text\n\n"), "1 2 3 4", false},
		{"an empty body of another type", ok + own + framed(""), "1 2 3 4", false},
		{"nothing before the connection ends", ok + events + "\r\n", "1 2 3 4", false},
		{"a head between events", chunked + chunk(event(5)) + head, "1 2 3 4 5", false},
		{"a head between events without a length", ok + events + "\r\n" + event(5) + head + "\n\n", "1 2 3 4 5", false},
		{"a head as a chunk", chunked + chunk(event(5)) + chunk(head+"\n\n") + "0\r\n\r\n", "1 2 3 4 5", false},
		{"from the first event", chunked + chunk(event(1)+event(2)+event(3)+event(4)+event(5)) + "0\r\n\r\n", "1 2 3 4", false},
		{"the last event again", chunked + chunk(event(4)+event(5)) + "0\r\n\r\n", "1 2 3 4", false},
		{"an event without an ID", chunked + chunk("data: odd text\n\n") + "0\r\n\r\n", "1 2 3 4", false},
		{"no seal", ok + "Content-Type: text/event-stream\r\nRequest-Id: ID\r\n" + framed(event(5)), "1 2 3 4", false},
		{"the ID of another request", ok + "Content-Type: text/event-stream\r\nRequest-Id: odd\r\nResponse-Seal: x\r\n" + framed(event(5)), "1 2 3 4", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			for _, id := range []string{"e1", "e2", "e3"} {
				site.AddEngine(id, "x", testModel).SetLayers(0, 8).SetFaults(sims.EngineFaults{BreakAfter: 4, Resumed: c.response})
			}
			g := startGateway(t, "g1", store, nil).waitReady(t)
			a := g.get("/draft/x?events=6")
			is.Equal(a.status, http.StatusOK)
			is.True(!strings.Contains(a.body, "odd"))  // nothing of the error
			is.True(!strings.Contains(a.body, "HTTP")) // nothing of its head
			is.Equal(eventIDs(a.body), c.want)
			is.Equal(a.err == nil, c.whole) // streams that lack events do not look complete
		})
	}
}

// Guards against a stream that a target runs and that is refused or sent to a
// second target, because the target wrote the refusal of another request.
func TestGatewayStreamsAndRefusalsOfOthers(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			engines := []*sims.Engine{site.AddEngine("e1", "x", testModel), site.AddEngine("e2", "x", testModel), site.AddEngine("e3", "x", testModel)}
			for _, e := range engines {
				e.SetLayers(0, 8).SetFaults(sims.EngineFaults{StaleRefusal: status})
			}
			g := startGateway(t, "g1", store, nil).waitReady(t)
			a := g.get("/draft/x?events=6")
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusBadGateway)
			served := 0
			for _, e := range engines {
				served += e.Served()
			}
			is.Equal(served, 2) // as many as the route allows
		})
	}
}
