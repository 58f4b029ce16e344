package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lateCallerCount is the number of callers that use a gateway until it is gone.
	lateCallerCount = 4
	// lateCallerPause is the pause of such a caller between two requests.
	lateCallerPause = 5 * time.Millisecond
	// seriesPause is the pause between two signals of a series.
	seriesPause = 30 * time.Millisecond
)

// stopInSeries stops a gateway with signals that follow each other, while callers
// keep using its connections until it is gone. Each of their requests must get an
// answer, and the process must end by itself.
func stopInSeries(w *world) (string, func()) {
	g := w.randomGateway()
	return w.exclusive("stop in series", g.name, func() func() {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			var callers sync.WaitGroup
			for n := range lateCallerCount {
				callers.Go(func() { w.callUntilGone(g, n) })
			}
			g.stopInSeries(w.recordFailure)
			callers.Wait()
		}()
		return func() {
			<-stopped
			g.start(w.recordFailure, w.log)
		}
	})
}

// stopInSeries sends SIGTERM and SIGHUP in turn until the process has ended.
func (g *gateway) stopInSeries(fail func(string, ...any)) {
	if !g.awaitListener() {
		g.stop(fail)
		return
	}
	g.mu.Lock()
	exited, cmd := g.exited, g.cmd
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			select {
			case <-exited:
				return
			case <-time.After(seriesPause):
				g.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[n%2])
			}
		}
	}()
	g.stop(fail)
	<-done
	if !cmd.ProcessState.Success() {
		fail("%s was ended by a later signal: %s", g.name, cmd.ProcessState)
	}
}

// awaitListener waits until the gateway accepts connections, since a process that
// has just started has no handlers of signals yet.
func (g *gateway) awaitListener() bool {
	for end := time.Now().Add(exitSlack); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", g.listen); err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

// callUntilGone sends one request after another, on the same connection while the
// gateway allows that, until it accepts no connection.
func (w *world) callUntilGone(g *gateway, n int) {
	var (
		conn net.Conn
		in   *bufio.Reader
		err  error
	)
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for sent := 0; ; sent++ {
		if conn == nil {
			if conn, err = net.Dial("tcp", g.listen); err != nil {
				conn = nil
				return
			}
			in = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("late-%s-%d-%d-%d", g.name, n, time.Now().UnixNano(), sent)
		resp, err := callRaw(conn, in, id, []string{"/look/" + id, "/draft/" + id + "?events=5"}[sent%2])
		if err != nil {
			w.recordFailure("request %s got no answer from %s, which stopped: %v", id, g.name, err)
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(lateCallerPause)
	}
}

// callRaw sends a request on a connection and returns the head of its answer; a
// stream may break off behind it. The error is not nil if there is no answer.
func callRaw(conn net.Conn, in *bufio.Reader, id, path string) (*http.Response, error) {
	_ = conn.SetDeadline(time.Now().Add(callerTimeout + exitSlack))
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n",
		path, goodKey, id, callerTimeout.Milliseconds())
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		resp.Close = true
	}
	_ = resp.Body.Close()
	return resp, nil
}
