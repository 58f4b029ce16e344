package cmds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// dial opens a connection to the gateway.
func (g *testGateway) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// Guards against an empty response that looks like a success, sent to a caller
// that has closed its side of the connection after the request.
func TestGatewaySendsNoFalseSuccess(t *testing.T) {
	site, store, plain := testSite(t)
	site.AddEngine("e1", "x", sims.Model{Layers: 8, Token: 2 * time.Second}).SetLayers(0, 8)
	for _, p := range plain {
		p.SetFaults(sims.ServiceFaults{Delay: 2 * time.Second})
	}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	for _, path := range []string{"/look/x", "/register/x", "/draft/x?events=9"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			conn := g.dial(t)
			_, err := io.WriteString(conn, requestText(path))
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			is.NoErr(conn.CloseWrite())
			answer, _ := io.ReadAll(conn)
			is.Equal(string(answer), "")
			eventually(t, "the request ends", func() bool { return g.server.OpenRequests() == 0 })
		})
	}
}

// Guards against a refusal that waits for the rest of a body that comes slowly,
// against a reset that destroys it, and against a body that is taken for the next
// request.
func TestGatewayRefusesBeforeTheBody(t *testing.T) {
	const bodyBytes = 20_000
	_, store, _ := testSite(t)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	next := requestText("/open/x")
	body := strings.Repeat("x", bodyBytes/2) + next + strings.Repeat("x", bodyBytes/2-len(next))
	for _, c := range []struct {
		path, key, length string
		status            int
		drain             bool
	}{
		{"/register/x", "other", fmt.Sprint(bodyBytes), http.StatusUnauthorized, false},
		{"/nothing/x", testKey, fmt.Sprint(bodyBytes), http.StatusNotFound, false},
		{"/register/x", testKey, "100000000", http.StatusRequestEntityTooLarge, false},
		{"/register/x", "other", "chunked", http.StatusUnauthorized, false},
		{"/register/x", testKey, fmt.Sprint(bodyBytes), http.StatusServiceUnavailable, true},
	} {
		t.Run(fmt.Sprintf("%d %s", c.status, c.length), func(t *testing.T) {
			is := is.New(t)
			if c.drain {
				g.server.StartDrain(0)
				eventually(t, "new requests are refused", g.server.RefusesNew)
			}
			length, before, after := "Content-Length: "+c.length, "", ""
			if c.length == "chunked" {
				length, before, after = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", bodyBytes), "\r\n0\r\n\r\n"
			}
			conn := g.dial(t)
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\n%s\r\n\r\n%s%s",
				c.path, c.key, requestID(), length, before, body[:bodyBytes/2])
			is.NoErr(err)
			in := bufio.NewReader(conn)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(resp.Close)
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(conn, body[bodyBytes/2:]+after)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			rest, err := io.ReadAll(in)
			is.Equal(string(rest), "")
			is.NoErr(err) // closed, and not reset
		})
	}
}
