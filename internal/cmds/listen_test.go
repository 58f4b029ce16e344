package cmds

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/timer"
)

// Guards against a planned stop that resets connections that the kernel has
// accepted and the process has not, although their callers have sent requests.
func TestStopAnswersQueuedConnections(t *testing.T) {
	const callers = 20
	is := is.New(t)
	l, err := listenTCP("127.0.0.1:0", timer.System{})
	is.NoErr(err)
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conns[i].Close()
		_, err = conns[i].Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		is.NoErr(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error)
	go func() {
		l.Stop(ctx)
		stopped <- server.Shutdown(ctx)
	}()
	for !l.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	is.Equal(server.Serve(l), http.ErrServerClosed)
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	is.NoErr(<-stopped)
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil) // the listener is closed
}
