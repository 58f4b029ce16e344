package cmds

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
)

// startDaemon serves a handler and returns the address.
func startDaemon(t *testing.T, h http.Handler) (*daemon, string) {
	t.Helper()
	d := newDaemon("test", conf.Log{Format: "logfmt", Level: "error"}, io.Discard)
	limits := connLimits{Head: headerTimeout}
	if err := d.serve(listenerSettings{name: "test", address: "127.0.0.1:0", headerBytes: 1 << 16, limits: limits, handler: h}); err != nil {
		t.Fatal(err)
	}
	return d, d.listeners[0].Addr().String()
}

// Guards against a planned stop that closes connections on which a request
// arrives after the listener has closed, without an answer.
func TestStopAnswersLateRequests(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct {
		name string
		// before is sent and answered before the stop.
		before string
		parts  []string
	}{
		{"new connection", "", []string{request}},
		{"kept connection", request, []string{request}},
		{"in two parts", request, []string{request[:9], request[9:]}},
		{"with another behind it", request, []string{request + request}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, address := startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			if c.before != "" {
				_, err = io.WriteString(conn, c.before)
				is.NoErr(err)
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				is.True(!resp.Close)
			}
			stopped := make(chan struct{})
			go func() {
				d.shutdown(2 * time.Second)
				close(stopped)
			}()
			for _, part := range c.parts {
				time.Sleep(80 * time.Millisecond)
				_, err = io.WriteString(conn, part)
				is.NoErr(err)
			}
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Close)
			_, err = in.ReadByte()
			is.Equal(err, io.EOF) // closed, and not reset
			_ = conn.Close()
			<-stopped
		})
	}
}

// Guards against a stop that waits for callers that send nothing, or that cuts an
// answer in progress.
func TestStopEndsIdleConnections(t *testing.T) {
	is := is.New(t)
	d, address := startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	}))
	idle, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = idle.Close() }()
	busy, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = busy.Close() }()
	_, err = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	go d.shutdown(2 * time.Second)
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(time.Since(start) < 500*time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), 100)
}
