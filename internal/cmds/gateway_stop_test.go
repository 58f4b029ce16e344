package cmds

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are taken just before a stop ends and cut: each one that
// is accepted has a third of StopTimeout to end, however long that is.
func TestStopTimes(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second, time.Hour} {
		t.Run(limit.String(), func(t *testing.T) {
			is := is.New(t)
			s := newStopTimes(limit)
			is.True(s.accept > 0)
			is.True(s.abortStreams-s.accept >= limit/3)
			is.True(s.abortStreams >= limit*5/6) // no sooner than in the last sixth
			is.True(s.abortCalls < s.close)
			is.True(s.abortStreams+drainPollInterval+s.close < limit)
		})
	}
	is.New(t).Equal(newStopTimes(8*time.Second), stopTimes{3 * time.Second, 7100 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond})
}

// Guards against a request that is passed on late in a stop, because its body came
// slowly, and then cut: it is refused, and has not run.
func TestGatewayStopRefusesLateBodies(t *testing.T) {
	for _, path := range []string{"/register/x", "/look/x", "/draft/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			site, store, plain := testSite(t)
			engine := site.AddEngine("e1", "x", testModel).SetLayers(0, 8)
			g := startGateway(t, "g1", store, nil).waitReady(t)
			conn, id := g.dial(t), requestID()
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nbo",
				path, testKey, id)
			is.NoErr(err)
			eventually(t, "the request has arrived", func() bool { return g.server.OpenRequests() == 1 })
			g.server.StartDrain(100 * time.Millisecond)
			eventually(t, "new requests are refused", g.server.RefusesNew)
			_, err = io.WriteString(conn, "dy")
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.Equal(plain[0].Runs(id)+plain[1].Runs(id)+engine.Served(), 0)
		})
	}
}
