package cmds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
	"shallotcourse/platform"
)

// serveRepeating serves the status reports and orders of a target that writes its
// last response once more where the next one on the same connection is expected.
// Orders for 8 layers conflict. It returns the address.
func serveRepeating(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		in, last := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			status, text := "202 Accepted", "{}"
			switch {
			case r.Method == http.MethodGet:
				status, text = "200 OK", `{"sequence":7,"pace":1}`
			case strings.Contains(string(body), `"to":8`):
				status = "409 Conflict"
			}
			response := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
			if _, err := io.WriteString(conn, last+response); err != nil {
				return
			}
			last = response
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// Guards against a late response of a target that is taken as the outcome of the
// next order, or as its status report.
func TestOrdersOfGatewaysAndLateResponses(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	engines := platform.Engines{Client: targetClient()}
	target := topo.Target{ID: "e1", Address: serveRepeating(t)}
	for range 3 {
		is.True(fault.Is(engines.Place(ctx, target, topo.Layers{To: 8}), fault.Conflict))
		is.NoErr(engines.Place(ctx, target, topo.Layers{To: 4}))
		r, err := engines.Report(ctx, target)
		is.NoErr(err)
		is.Equal(r.Sequence, int64(7))
	}
}
