package cmds

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/topo"
	"shallotcourse/pkg/clnt"
	"shallotcourse/platform"
)

// resetRounds is enough for a race between the reader and the writer of a connection to
// go either way.
const resetRounds = 20

// exchange sends a request to the server at an address and reads the response.
type exchange func(ctx context.Context, address string) error

// uploads holds a request with a long body for each client that can send one.
func uploads() map[string]exchange {
	body := make([]byte, fraw.UploadBytes)
	return map[string]exchange{
		"request to a target": func(ctx context.Context, address string) error { return postToTarget(ctx, address, body) },
		"change of a path": func(ctx context.Context, address string) error {
			return platform.Engines{Client: targetClient()}.Repath(ctx, topo.Target{ID: "e1", Address: address}, string(body), []proxy.Hop{})
		},
		"object of the platform": func(ctx context.Context, address string) error {
			return plat.NewClient("http://"+address).Objects.Put(ctx, "o", body)
		},
		"session of an engine": func(ctx context.Context, address string) error {
			_, err := engine.NewClient("http://"+address).Import(ctx, engine.SessionExport{States: [][]uint64{slices.Repeat([]uint64{math.MaxUint64}, fraw.UploadBytes/20)}})
			return err
		},
		"order to an engine": func(ctx context.Context, address string) error {
			return engine.NewClient("http://"+address).SendOrder(ctx, engine.Order{Version: string(body)}, nil)
		},
		"call of a service": func(ctx context.Context, address string) error {
			_, err := engine.NewService("http://"+address).Do(ctx, engine.ServiceCall{Method: http.MethodPost, Path: "/", Body: body})
			return err
		},
		"call at an entry": func(ctx context.Context, address string) error {
			_, err := clnt.NewCaller([]string{address}, "key").Call(ctx, clnt.ServiceCall{Method: http.MethodPost, Service: "s", Path: "/", Body: body})
			return err
		},
	}
}

func postToTarget(ctx context.Context, address string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := targetClient().Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against a part of a response without a length that a client takes for the whole,
// because the connection was reset while the request was being sent.
func TestResetOfAnUploadIsNoEnd(t *testing.T) {
	for name, send := range uploads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := fraw.Start(t, func(conn *net.TCPConn, _ *http.Request) { fraw.Reset(conn, "HTTP/1.1 200 OK\r\n\r\n{}") })
			for range resetRounds / 2 {
				is.True(send(t.Context(), address) != nil) // the response is not complete
			}
		})
	}
}
