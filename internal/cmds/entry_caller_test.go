package cmds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a refusal of an entry that waits for the rest of a body that
// comes slowly, and against a body that is taken for the next request.
func TestEntryRefusesBeforeTheBody(t *testing.T) {
	const bodyBytes = 20_000
	p := startEntryProcess(t)
	_ = awaitListener(t, p.callers).Close()
	next := requestText("/v1/models")
	body := strings.Repeat("x", bodyBytes/2) + next + strings.Repeat("x", bodyBytes/2-len(next))
	for _, length := range []string{fmt.Sprint(bodyBytes), "chunked"} {
		t.Run(length, func(t *testing.T) {
			is := is.New(t)
			header, before, after := "Content-Length: "+length, "", ""
			if length == "chunked" {
				header, before, after = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", bodyBytes), "\r\n0\r\n\r\n"
			}
			conn, err := net.Dial("tcp", p.callers)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer other\r\n%s\r\n\r\n%s%s", header, before, body[:bodyBytes/2])
			is.NoErr(err)
			in := bufio.NewReader(conn)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusUnauthorized)
			is.True(resp.Close)
			_, err = io.WriteString(conn, body[bodyBytes/2:]+after)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			rest, err := io.ReadAll(in)
			is.Equal(string(rest), "")
			is.NoErr(err) // closed, and not reset
		})
	}
}
