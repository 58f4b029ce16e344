package cmds

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

// claimListener serves a handler for callers with a budget.
func claimListener(t *testing.T, bytes int64, h http.HandlerFunc) (*budget.Budget, *daemon) {
	t.Helper()
	d, _ := startDaemon(t, http.NotFoundHandler())
	b := budget.New(budget.Options{Bytes: bytes, Clock: timer.System{}})
	l := listenerSettings{name: "test", address: "127.0.0.1:0", headerBytes: 1 << 16, limits: callerLimits(0, 1024), handler: h, budget: b}
	if err := d.serve(l); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.shutdown(time.Second) })
	return b, d
}

// dialCallers connects to the listener of claimListener.
func dialCallers(t *testing.T, d *daemon) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.listeners[1].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// Guards against heads whose memory is not claimed while they are read or handled,
// against bodies that are claimed as heads, and against claims that are kept.
func TestHeadsAreClaimed(t *testing.T) {
	short := strings.Repeat("a:b\r\n", 1000)
	for _, c := range []struct {
		name, sent string
		// requests is how many of them are sent.
		requests int
		// reading is claimed beside the connection before the last byte is sent; it is
		// not checked if it is 0. handling is claimed in each handler.
		reading, handling int64
	}{
		{"one field", "GET / HTTP/1.1\r\nHost:x\r\n\r\n", 1, 25 + 2*headLineBytes, 26 + 3*headLineBytes},
		{"short fields", "GET / HTTP/1.1\r\nHost:x\r\n" + short + "\r\n", 1, 5025 + 1002*headLineBytes, 5026 + 1003*headLineBytes},
		{"two at once", strings.Repeat("GET / HTTP/1.1\r\nHost:x\r\n"+short[:1000]+"\r\n", 2), 2, 0, 1026 + 203*headLineBytes},
		{"body of lines", "POST / HTTP/1.1\r\nHost:x\r\nContent-Length:2001\r\n\r\n" + strings.Repeat("\n", 2001), 1, 48 + 4*headLineBytes, 48 + 4*headLineBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b *budget.Budget
			used := make(chan int64, 2)
			b, d := claimListener(t, 10<<20, func(_ http.ResponseWriter, r *http.Request) {
				is.True(budget.FromContext(r.Context()) != nil)
				used <- b.Stats().Used - connBytes
				_, _ = io.Copy(io.Discard, r.Body)
			})
			conn, sent := dialCallers(t, d), c.sent
			if c.reading > 0 {
				_, err := io.WriteString(conn, sent[:len(sent)-1])
				is.NoErr(err)
				eventually(t, "the head is claimed", func() bool { return b.Stats().Used == connBytes+c.reading })
				sent = sent[len(sent)-1:]
			}
			_, err := io.WriteString(conn, sent)
			is.NoErr(err)
			in := bufio.NewReader(conn)
			for range c.requests {
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.Equal(<-used, c.handling)
			}
			eventually(t, "an idle connection claims its own memory", func() bool { return b.Stats().Used == connBytes })
			_ = conn.Close()
			eventually(t, "all is given back", func() bool { return b.Stats().Used == 0 })
		})
	}
}

// Guards against a claim that a handler's panic leaves behind.
func TestPanicGivesBackTheClaim(t *testing.T) {
	is := is.New(t)
	b, d := claimListener(t, 1<<20, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	conn := dialCallers(t, d)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	eventually(t, "all is given back", func() bool { return b.Stats().Used == 0 })
}

// Guards against new callers that are turned away while idle ones hold the memory, and
// against figures that do not show it.
func TestIdleCallersGiveWay(t *testing.T) {
	is := is.New(t)
	d, _ := startDaemon(t, http.NotFoundHandler())
	d.boundCallers(conf.Callers{MemoryShare: 0.5}, 1)
	is.NoErr(d.serve(listenerSettings{
		name: "callers", address: "127.0.0.1:0", headerBytes: 1 << 16, limits: callerLimits(0, 1024),
		handler: http.NotFoundHandler(), budget: d.budget,
	}))
	t.Cleanup(func() { d.shutdown(time.Second) })
	const callers = 40 // more than twice what has room
	for range callers {
		conn := dialCallers(t, d)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusNotFound)
	}
	s := d.callerStatus()
	is.Equal(s.MemoryBound, int64(1<<19))
	is.True(s.MemoryBytes <= s.MemoryBound)
	is.True(s.Connections <= int(s.MemoryBound/connBytes))
	evicted := uint64(0)
	for _, n := range s.Evicted {
		evicted += n
	}
	is.True(evicted >= callers-uint64(s.MemoryBound/connBytes))
	var text strings.Builder
	d.metrics.WritePrometheus(&text)
	for _, name := range []string{
		"shallotcourse_caller_memory_bytes ", "shallotcourse_caller_memory_bound_bytes 524288", "shallotcourse_caller_connections ",
		`shallotcourse_callers_refused_total{Reason="Full"} 0`, `shallotcourse_callers_evicted_total{Reason="Size"} `,
	} {
		is.True(strings.Contains(text.String(), name))
	}
}

// Guards against requests that run without room for their heads, and against
// refusals that do not say that the request has not run.
func TestNoRoomForAHead(t *testing.T) {
	for _, c := range []struct {
		name string
		room int64
		sent string
	}{
		{"for the connection", connBytes - 1, ""},
		{"for the head", connBytes + 300, "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\nC: d\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const bound = 1 << 20
			b, d := claimListener(t, bound, func(http.ResponseWriter, *http.Request) { t.Error("the request runs") })
			// Small claims may use the whole bound.
			for left := bound - c.room; left > 0; left -= connBytes {
				running := b.Open(func() { t.Error("a running request gives way") })
				defer running.Close()
				running.SetPhase(budget.Running)
				is.NoErr(running.Grow(context.Background(), min(left, connBytes)))
			}
			conn := dialCallers(t, d)
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Header.Get(fault.Header), string(fault.NotRun))
			is.True(resp.Header.Get("Retry-After") != "")
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(int64(len(body)), resp.ContentLength)
		})
	}
}

// Guards against a connection that stays open, with what it has claimed, after a head was
// refused in the middle of a line: net/http reads once more then.
func TestNoRoomInTheMiddleOfALine(t *testing.T) {
	is := is.New(t)
	b, d := claimListener(t, connBytes+2*headLineBytes+1000, func(http.ResponseWriter, *http.Request) {})
	conn := dialCallers(t, d)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nX: ")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, strings.Repeat("a", 2000))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	eventually(t, "the connection closes", func() bool { return b.Stats().Claims == 0 })
}
