package httpc_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/internal/httpc"
)

// resetRounds is enough for a race between the reader and the writer of a connection to
// go either way.
const resetRounds = 40

// upload sends a long body and returns the status and the body of the response.
func upload(address string) (status int, body string, err error) {
	client := &http.Client{Transport: httpc.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true})}
	resp, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, fraw.UploadBytes)))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a part of a response without a length that is taken for the whole,
// because the connection was reset while the request was being sent.
func TestResetIsNoEnd(t *testing.T) {
	is := is.New(t)
	address := fraw.Start(t, func(conn *net.TCPConn, _ *http.Request) { fraw.Reset(conn, "HTTP/1.1 200 OK\r\n\r\npart") })
	for range resetRounds {
		_, _, err := upload(address)
		is.True(err != nil) // the response is not complete
	}
}

// Guards against sound responses to requests that have not been read which are refused.
func TestEarlyResponses(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*net.TCPConn)
		status int
		body   string
	}{
		"without a length, the server reads on": {func(c *net.TCPConn) { fraw.End(c, "HTTP/1.1 200 OK\r\n\r\nwhole") }, 200, "whole"},
		"without a length, the server reads no more": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		}, 200, "whole"},
		"without a length, a reset after the end": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.CloseWrite()
			fraw.Reset(c, "")
		}, 200, "whole"},
		"with a length": {func(c *net.TCPConn) { fraw.End(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole") }, 200, "whole"},
		"a failure": {func(c *net.TCPConn) {
			fraw.End(c, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nlong")
		}, 413, "long"},
		"a failure without a length": {func(c *net.TCPConn) { fraw.End(c, "HTTP/1.1 500 Internal Server Error\r\n\r\nfailed") }, 500, "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := fraw.Start(t, func(conn *net.TCPConn, _ *http.Request) { c.answer(conn) })
			for range resetRounds / 4 {
				status, body, err := upload(address)
				is.NoErr(err)
				is.Equal(status, c.status)
				is.Equal(body, c.body)
			}
		})
	}
}
