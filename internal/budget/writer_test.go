package budget

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"shallotcourse/internal/timer"
)

const (
	testIdle     = 400 * time.Millisecond
	responseSize = 24 * megabyte
)

// connKey is the context key of a test's connection.
type connKey struct{}

func withTestConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// serveLarge serves one large response and returns the connection of its caller, with
// the result of the write.
func serveLarge(t *testing.T, b *Budget) (net.Conn, <-chan error) {
	result := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		claim := b.Open(nil)
		defer claim.Close()
		ctx := WithUnsent(WithClaim(r.Context(), claim), func() int {
			raw, _ := r.Context().Value(connKey{}).(*net.TCPConn).SyscallConn()
			n := 0
			_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
			return n
		})
		out := NewWriter(w, r.WithContext(ctx), timer.System{}, testIdle)
		_, err := out.Write(make([]byte, responseSize))
		result <- err
	})
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = withTestConn
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	is.New(t).NoErr(err)
	return conn, result
}

// Guards against a caller that sends a request and does not read the response, and holds
// it for as long as it likes.
func TestCallerThatTakesNothing(t *testing.T) {
	is := is.New(t)
	b := New(Options{Bytes: 32 * megabyte, Clock: timer.System{}})
	_, result := serveLarge(t, b)
	select {
	case err := <-result:
		is.True(err != nil)
	case <-time.After(50 * testIdle):
		t.Fatal("the write has not ended")
	}
}

// Guards against a caller that is cut off although it goes on reading, only slowly: what
// it takes in the idle time is far less than the kernel's buffers.
func TestCallerThatReadsSlowly(t *testing.T) {
	is := is.New(t)
	b := New(Options{Bytes: 32 * megabyte, Clock: timer.System{}})
	conn, result := serveLarge(t, b)
	piece := make([]byte, 256<<10)
	slow := time.Now().Add(8 * testIdle)
	taken := 0
	for {
		n, err := io.ReadFull(conn, piece)
		taken += n
		if err != nil {
			break
		}
		if time.Now().Before(slow) {
			time.Sleep(testIdle / 4)
		}
	}
	is.NoErr(<-result)
	is.True(taken > responseSize)
}
