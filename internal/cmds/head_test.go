package cmds

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// maxSentHead is the most that a caller lets a server send in one head.
	maxSentHead = 1 << 20
	// headLines and headPause are the pace of a head without end: so many lines, then
	// a pause.
	headLines = 1 << 10
	headPause = time.Millisecond
)

// endlessHead is a server that answers each request with header lines until the caller
// closes the connection.
type endlessHead struct {
	address string
	// most is the most bytes that were sent on one connection.
	most atomic.Int64
	open atomic.Int64
}

func serveEndlessHeads(t *testing.T) *endlessHead {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessHead{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.answer(c)
		}
	}()
	return s
}

func (s *endlessHead) answer(c net.Conn) {
	defer s.open.Add(-1)
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	sent, piece := 0, "HTTP/1.1 200 OK\r\n"
	for sent < 16*maxSentHead {
		if _, err := io.WriteString(c, piece); err != nil {
			break
		}
		sent += len(piece)
		piece = strings.Repeat("Name: value\r\n", headLines)
		time.Sleep(headPause)
	}
	s.most.Store(max(s.most.Load(), int64(sent)))
}

// Guards against a process that runs out of memory because a faulty server sends the
// head of its answer without end.
func TestHeadsWithoutEnd(t *testing.T) {
	all := clients()
	all["other gateway"] = func(_ context.Context, address string) error {
		g := link.NewGroup(link.Config{
			Hello: func() wire.Hello { return wire.Hello{} }, Handler: link.Handlers{}, Timer: timer.System{}, Logger: log.NewNopLogger(),
			Heartbeat: time.Second, Silence: time.Minute, DialTimeout: time.Minute,
		})
		g.Want(address)
		time.Sleep(2 * time.Second)
		g.Stop()
		return errors.New("no link to such a server")
	}
	for name, call := range all {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serveEndlessHeads(t)
			is.True(call(t.Context(), s.address) != nil)
			eventually(t, "the connection is closed", func() bool { return s.open.Load() == 0 })
			is.True(s.most.Load() > 0)
			is.True(s.most.Load() <= maxSentHead)
		})
	}
}
