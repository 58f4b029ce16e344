package httpc_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/internal/httpc"
)

// Guards against a broken response that is taken for a sound one, and a sound one that
// is refused. The name of each case says what it is; the body of the sound ones is "whole".
func TestResponses(t *testing.T) {
	for _, file := range []string{"testdata/status.txtar", "testdata/names.txtar"} {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range archive.Files {
			t.Run(c.Name, func(t *testing.T) {
				is := is.New(t)
				response, err := strconv.Unquote(`"` + strings.TrimSpace(string(c.Data)) + `"`)
				is.NoErr(err)
				address := fraw.Start(t, func(conn *net.TCPConn, _ *http.Request) { fraw.End(conn, response) })
				client := &http.Client{Transport: httpc.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
				resp, err := client.Get("http://" + address)
				is.Equal(err == nil, strings.HasPrefix(c.Name, "sound"))
				if err != nil {
					return
				}
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(string(body), "whole")
			})
		}
	}
}
