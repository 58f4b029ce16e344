package cmds

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	for !l.isStopping() {
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

// Guards against a listener that never finds its queue empty while callers go on
// connecting, or that closes although it is not empty, and resets callers in both
// cases.
func TestStopWhileCallersConnect(t *testing.T) {
	const (
		callers = 30
		rounds  = 5
	)
	for range rounds {
		is := is.New(t)
		l, err := listenTCP("127.0.0.1:0", timer.System{})
		is.NoErr(err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte{1})
				_ = c.Close()
			}
		}()
		var (
			wg   sync.WaitGroup
			lost atomic.Int64
		)
		for range callers {
			wg.Go(func() {
				for {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						return
					}
					if n, _ := c.Read(make([]byte, 1)); n == 0 {
						lost.Add(1)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		l.Stop(ctx)
		cancel()
		took := time.Since(start)
		<-ended
		wg.Wait()
		t.Logf("stopped after %s, %d of %d callers reset", took.Round(time.Millisecond), lost.Load(), callers)
		is.Equal(lost.Load(), int64(0))
		is.True(took < time.Second)
	}
}
