package httpc_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// Guards against a broken head that is taken for a sound one because it is not the first
// on its connection.
func TestBrokenHeadOnAReusedConnection(t *testing.T) {
	is := is.New(t)
	connections := atomic.Int64{}
	address := fraw.Start(t, func(conn *net.TCPConn, _ *http.Request) {
		connections.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			fraw.End(conn, "HTTP/1.1 200 OK\r\nOdd: x\r\n Content-Length: 5\r\n\r\nwhole")
		}
	})
	client := &http.Client{Transport: httpc.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	resp, err := client.Get("http://" + address)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	_, err = client.Post("http://"+address, "text/plain", strings.NewReader("x"))
	is.True(err != nil)
	is.Equal(connections.Load(), int64(1))
}

// Guards against broken heads that are taken for sound ones because they are encrypted,
// and against encrypted bytes that are read as a head.
func TestEncryptedResponses(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/broken" {
			_, _ = io.WriteString(w, "whole")
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nOdd: x\r\n Content-Length: 5\r\n\r\nwhole")
			_ = conn.Close()
		}
	}))
	defer server.Close()
	for name, reuse := range map[string]bool{"reused connections": true, "new connections": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own := server.Client().Transport.(*http.Transport).Clone()
			own.DialContext, own.DisableKeepAlives = (&net.Dialer{}).DialContext, !reuse
			client := &http.Client{Transport: httpc.NewTransport(own)}
			for range 10 {
				resp, err := client.Get(server.URL)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(string(body), "whole")
			}
			_, err := client.Get(server.URL + "/broken")
			is.True(err != nil)
		})
	}
}
