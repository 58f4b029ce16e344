package cmds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startListener serves a handler with some limits and returns the address.
func startListener(t *testing.T, limits connLimits, h http.Handler) (*daemon, string) {
	t.Helper()
	d, _ := startDaemon(t, http.NotFoundHandler())
	if err := d.serve(listenerSettings{name: "test", address: "127.0.0.1:0", headerBytes: 1 << 16, limits: limits, handler: h}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.shutdown(time.Second) })
	return d, d.listeners[1].Addr().String()
}

// Guards against a body that stops short and holds its connection for ever, since
// the server awaits its end once the handler has returned.
func TestBodiesThatStopShort(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"unread":        func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusNotFound) },
		"long answer":   func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 100_000)) },
		"partly read":   func(_ http.ResponseWriter, r *http.Request) { _, _ = r.Body.Read(make([]byte, 1)) },
		"panic":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"asks to close": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") },
	}
	frames := map[string]string{
		"length":   "Content-Length: 1000\r\n\r\nabc",
		"long":     "Content-Length: 4000000\r\n\r\nabc",
		"chunks":   "Transfer-Encoding: chunked\r\n\r\n10\r\nabc",
		"continue": "Content-Length: 1000\r\nExpect: 100-continue\r\n\r\nabc",
	}
	for _, l := range []struct {
		name   string
		limits connLimits
	}{{"callers", callerLimits(0, 1024)}, {"checks", checkLimits(1024)}, {"operators", operatorLimits(1024)}, {"links", linkLimits(1024)}} {
		for handler, h := range handlers {
			for frame, text := range frames {
				if handler == "long answer" && (l.name == "callers" || l.name == "links") {
					continue // no handler there answers before it has read the body
				}
				t.Run(strings.Join([]string{l.name, handler, frame}, " "), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					d, address := startListener(t, l.limits, h)
					conn, err := net.Dial("tcp", address)
					is.NoErr(err)
					defer func() { _ = conn.Close() }()
					_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+text)
					is.NoErr(err)
					is.NoErr(conn.SetReadDeadline(time.Now().Add(8 * time.Second)))
					got, err := io.ReadAll(conn)
					is.NoErr(err) // closed by the server
					is.Equal(strings.HasPrefix(string(got), "HTTP/1.1 "), handler != "panic")
					eventually(t, "the descriptor is free", func() bool { return d.listeners[1].conns.size() == 0 })
				})
			}
		}
	}
}

// Guards against a connection that is closed although the caller has sent a whole
// body that the handler does not read.
func TestWholeBodiesKeepTheConnection(t *testing.T) {
	is := is.New(t)
	_, address := startListener(t, callerLimits(0, 1024), http.NotFoundHandler())
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range 3 {
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
		is.NoErr(err)
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.True(!resp.Close)
		time.Sleep(700 * time.Millisecond) // longer than the time for the rest of a body
	}
}

// Guards against requests that are read and run while the caller takes none of the
// responses before them.
func TestRequestsAheadAwaitTheResponses(t *testing.T) {
	const requests = 100
	is := is.New(t)
	var handled atomic.Int64
	_, address := startListener(t, callerLimits(0, 1024), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}))
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", requests))
	is.NoErr(err)
	time.Sleep(time.Second)
	is.True(handled.Load() < 50) // what the kernel's buffers hold
	in := bufio.NewReader(conn)
	for range requests {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	is.Equal(handled.Load(), int64(requests))
}

// Guards against callers that crowd out the readiness check, with connections that
// send nothing, a part of a head, or a part of a body.
func TestChecksBesideACrowd(t *testing.T) {
	for _, sent := range []string{"", "GET / HT", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx"} {
		t.Run(fmt.Sprintf("%q", sent), func(t *testing.T) {
			is := is.New(t)
			d, address := startListener(t, checkLimits(1024), readyHandler(func() error { return nil }))
			for range 3 * maxCheckConnections {
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, sent)
			}
			client := http.Client{Timeout: 5 * time.Second}
			resp, err := client.Get("http://" + address)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(d.listeners[1].conns.size() <= maxCheckConnections)
		})
	}
}

// Guards against callers that are slow, but inside the limits, and are cut.
func TestSlowCallersAreKept(t *testing.T) {
	is := is.New(t)
	_, address := startListener(t, callerLimits(0, 1024), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range 2 {
		for _, part := range []string{"P", "OST / HTTP/1.1\r\n", "Host: x\r\nContent-Length: 4\r\n", "\r\nab", "cd"} {
			time.Sleep(600 * time.Millisecond)
			_, err = io.WriteString(conn, part)
			is.NoErr(err)
		}
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "abcd")
	}
}
