package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
)

// startRepeatingEngine serves an engine that refuses orders for the version
// "refused", and that writes the last response once more where the next one on
// the same connection is expected. It returns the URL.
func startRepeatingEngine(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		in, last := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			text, status := "{}", "200 OK"
			if strings.Contains(string(body), "refused") {
				text, status = `{"Code":"Conflict"}`, "409 Conflict"
			}
			response := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
			if _, err := io.WriteString(conn, last+response); err != nil {
				return
			}
			last = response
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a response to an earlier request that is taken as the outcome of
// an order: a refusal of one that the engine has carried out, or the reverse.
func TestOrdersAndLateResponses(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	c := NewClient(startRepeatingEngine(t))
	for range 3 {
		is.True(fault.Is(c.SendOrder(ctx, Order{Version: "refused"}, nil), fault.Conflict))
		is.NoErr(c.SendOrder(ctx, Order{Version: "taken"}, nil))
	}
	_, err := c.State(ctx)
	is.NoErr(err)
	is.True(fault.Is(c.SendOrder(ctx, Order{Version: "refused"}, func() error { return nil }), fault.Conflict))
}

// Guards against calls that get the response to an earlier one, which may be that
// of another caller.
func TestServiceCallsAndLateResponses(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	s := NewService(startRepeatingEngine(t))
	for _, body := range []string{"refused", "taken", "refused", "taken"} {
		r, err := s.Do(ctx, ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte(body)})
		is.NoErr(err)
		is.Equal(r.Status == http.StatusOK, body == "taken")
	}
}
