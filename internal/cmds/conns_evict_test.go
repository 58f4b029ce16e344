package cmds

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/timer"
)

// tcpPair returns both ends of a connection over the loopback interface.
func tcpPair(t *testing.T) (server *net.TCPConn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = c.Close()
	})
	return c.(*net.TCPConn), client
}

// connRow holds the connections of a set, each with the end of its caller.
type connRow struct {
	*testing.T
	set     *connSet
	conns   []*callerConn
	callers []net.Conn
}

func (r *connRow) open() bool {
	server, client := tcpPair(r.T)
	c := r.set.add(server)
	r.conns, r.callers = append(r.conns, c), append(r.callers, client)
	return c != nil
}

// send sends bytes to a connection, and has the server read them.
func (r *connRow) send(i int, text string) {
	r.Helper()
	if _, err := io.WriteString(r.callers[i], text); err != nil {
		r.Fatal(err)
	}
	if _, err := r.conns[i].Read(make([]byte, len(text))); err != nil {
		r.Fatal(err)
	}
}

func (r *connRow) step(name string, i int) {
	switch name {
	case "head": // a part of it
		r.send(i, "GET / HT")
	case "request":
		r.send(i, "GET / HTTP/1.1\r\n\r\n")
		r.conns[i].beginRequest(false)
	case "upload": // with a body that has not ended
		r.send(i, "POST / HTTP/1.1\r\n\r\n")
		r.conns[i].beginRequest(true)
	case "whole":
		r.conns[i].noteWhole()
	case "answered":
		r.conns[i].endRequest()
	case "arrived": // bytes that the server has not read
		_, _ = io.WriteString(r.callers[i], "x")
		eventually(r.T, "the bytes have arrived", func() bool { return r.conns[i].unread() > 0 })
	case "linger":
		r.step("arrived", i)
		_ = r.conns[i].Close()
	}
}

// Guards against a new caller that is turned away while others hold connections
// without a request, and against an eviction that cuts a request in progress.
func TestWhichConnectionGivesWay(t *testing.T) {
	type steps []struct {
		name string
		conn int
	}
	for _, c := range []struct {
		name  string
		steps steps
		want  int // the connection that gives way, or -1
	}{
		{"idle for longest", nil, 0},
		{"half-read since later than others idle", steps{{"head", 0}}, 1},
		{"half-read for longest", steps{{"head", 0}, {"head", 2}, {"head", 1}}, 0},
		{"more of a half-read head", steps{{"head", 0}, {"head", 1}, {"head", 2}, {"head", 0}}, 0},
		{"half-read body", steps{{"request", 0}, {"upload", 1}, {"request", 2}}, 1},
		{"whole body", steps{{"request", 0}, {"upload", 1}, {"upload", 2}, {"whole", 1}}, 2},
		{"idle since the last answer", steps{{"request", 0}, {"head", 1}, {"head", 2}, {"answered", 0}}, 1},
		{"a request has arrived on the idle one", steps{{"arrived", 0}}, 1},
		{"rest of a closed one", steps{{"request", 0}, {"request", 1}, {"request", 2}, {"linger", 1}}, 1},
		{"all requests in progress", steps{{"request", 0}, {"request", 1}, {"request", 2}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &connRow{T: t, set: newConnSet(timer.System{})}
			r.set.limits.Connections, r.set.limits.Reason = 3, "Connections"
			for range 3 {
				is.True(r.open())
			}
			for _, s := range c.steps {
				r.step(s.name, s.conn)
			}
			is.Equal(r.open(), c.want >= 0)
			is.Equal(r.set.size(), 3)
			for i, caller := range r.callers[:3] {
				_ = caller.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, err := caller.Read(make([]byte, 1))
				timeout, ok := err.(net.Error)
				is.Equal(ok && timeout.Timeout(), i != c.want) // the others are open
			}
			counts := r.set.crowd.counts()
			is.Equal(counts.Evicted["Connections"]+counts.Refused["Connections"], uint64(1))
			is.Equal(counts.Evicted["Connections"] == 1, c.want >= 0)
		})
	}
}

// Guards against a handler that runs a request whose connection was closed to make
// room, and against a place that is never free again.
func TestEvictedConnection(t *testing.T) {
	is := is.New(t)
	r := &connRow{T: t, set: newConnSet(timer.System{})}
	r.set.limits.Connections = 1
	is.True(r.open())
	r.step("head", 0)
	is.True(r.open())
	is.True(!r.conns[0].beginRequest(false))
	_ = r.conns[0].Close()
	is.Equal(r.set.size(), 1)
	_ = r.conns[1].Close()
	_ = r.conns[1].Close()
	is.Equal(r.set.size(), 0)
	is.Equal(len(r.set.list()), 0)
}

// Guards against a connection that stays open although its memory was taken back,
// and against a place that is given back twice.
func TestConnectionEvictedForMemory(t *testing.T) {
	for _, step := range []string{"idle", "head", "request", "upload", "linger"} {
		t.Run(step, func(t *testing.T) {
			is := is.New(t)
			r := &connRow{T: t, set: newConnSet(timer.System{})}
			is.True(r.open())
			r.step(step, 0)
			r.conns[0].evict()
			r.conns[0].evict()
			_ = r.callers[0].SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := io.Copy(io.Discard, r.callers[0])
			timeout, ok := err.(net.Error)
			is.True(!ok || !timeout.Timeout()) // closed or reset
			is.Equal(r.set.size(), 0)
		})
	}
}

// Guards against a slow caller that is taken for one that stands still, since what it
// has not taken yet is not known.
func TestUnsentBytes(t *testing.T) {
	is := is.New(t)
	r := &connRow{T: t, set: newConnSet(timer.System{})}
	is.True(r.open())
	is.Equal(r.conns[0].unsent(), 0)
	is.NoErr(r.conns[0].SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err := r.conns[0].Write(make([]byte, 16<<20))
	is.True(err != nil)
	is.True(r.conns[0].unsent() > 0)
	go func() { _, _ = io.Copy(io.Discard, r.callers[0]) }()
	eventually(t, "the caller has taken all", func() bool { return r.conns[0].unsent() == 0 })
	_ = r.conns[0].Close()
	is.Equal(r.conns[0].unsent(), 0)
}

// Guards against bounds that exceed the limit on descriptors.
func TestConnectionBounds(t *testing.T) {
	for _, c := range []struct{ descriptors, callers, checks, links int }{
		{64, 16, 32, 16}, {300, 172, 32, 75}, {1024, 768, 64, 256}, {4100, 3076, 64, 1024}, {10933, 9909, 64, 1024},
	} {
		t.Run(fmt.Sprint(c.descriptors), func(t *testing.T) {
			is := is.New(t)
			is.Equal(callerLimits(0, c.descriptors).Connections, c.callers)
			is.Equal(callerLimits(1<<20, c.descriptors).Connections, c.callers)
			is.Equal(callerLimits(5, c.descriptors).Connections, 5)
			is.Equal(checkLimits(c.descriptors).Connections, c.checks)
			is.Equal(operatorLimits(c.descriptors).Connections, c.checks)
			is.Equal(linkLimits(c.descriptors).Connections, c.links)
		})
	}
}

// Guards against a log line per connection, and against counts that are missing in
// the log.
func TestCrowdReports(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	var reports []string
	c := newCrowd(clock, func(n crowdCounts) { reports = append(reports, countsText(n.Evicted)+" "+countsText(n.Refused)) })
	for range 1000 {
		c.noteEvicted("Connections")
	}
	c.noteRefused("Memory")
	is.Equal(reports, []string{"Connections:1 "})
	clock.Advance(4 * time.Second)
	is.Equal(len(reports), 1)
	clock.Advance(time.Second)
	is.Equal(reports[1:], []string{"Connections:999 Memory:1"})
	clock.Advance(time.Minute)
	is.Equal(len(reports), 2)
	c.noteRefused("Connections")
	is.Equal(reports[2:], []string{" Connections:1"})
}
