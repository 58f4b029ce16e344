package cmds

import (
	"io"
	"net"
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
