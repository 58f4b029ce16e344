package cmds

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/topo"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
	"shallotcourse/platform"
)

const (
	// resetRounds is enough for a race between the reader and the writer of a connection
	// to go either way.
	resetRounds = 20
	// oneEvent is the body of the broken responses, emptyObject one of the same length
	// in JSON.
	oneEvent    = "id: 1\ndata: x\n\n"
	emptyObject = "{}             "
)

// exchange sends a request to the server at an address and reads the response.
type exchange func(ctx context.Context, address string) error

// clients holds a request of each client but those of links.
func clients() map[string]exchange {
	return map[string]exchange{
		"request to a target": func(ctx context.Context, address string) error { return postToTarget(ctx, address, nil) },
		"poll of a target": func(ctx context.Context, address string) error {
			_, err := platform.Engines{Client: targetClient()}.Report(ctx, topo.Target{ID: "e1", Address: address})
			return err
		},
		"order to a target": func(ctx context.Context, address string) error {
			return platform.Engines{Client: targetClient()}.Place(ctx, topo.Target{ID: "e1", Address: address}, topo.Layers{To: 8})
		},
		"platform": func(ctx context.Context, address string) error {
			_, err := plat.NewClient("http://"+address, plat.WithTimeout(10*time.Second)).Instances.List(ctx)
			return err
		},
		"object of the platform": func(ctx context.Context, address string) error {
			_, err := plat.NewClient("http://"+address, plat.WithTimeout(10*time.Second)).Objects.Get(ctx, "o")
			return err
		},
		"store": func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address, plat.WithTimeout(10*time.Second)).Rows(ctx, "servers")
			return err
		},
		"engine": func(ctx context.Context, address string) error {
			_, err := engine.NewClient("http://" + address).State(ctx)
			return err
		},
		"order to an engine": func(ctx context.Context, address string) error {
			return engine.NewClient("http://"+address).SendOrder(ctx, engine.Order{}, nil)
		},
		"service": func(ctx context.Context, address string) error {
			_, err := engine.NewService("http://"+address).Do(ctx, engine.ServiceCall{Method: http.MethodGet, Path: "/"})
			return err
		},
		"entry": func(ctx context.Context, address string) error {
			_, err := clnt.New([]string{address}, "key").Get(ctx, resrc.KindModel, "m")
			return err
		},
		"status of an entry": func(ctx context.Context, address string) error {
			_, err := clnt.New([]string{address}, "key").Status(ctx, "http://"+address)
			return err
		},
		"call at an entry": func(ctx context.Context, address string) error {
			_, err := clnt.NewCaller([]string{address}, "key").Call(ctx, clnt.ServiceCall{Method: http.MethodGet, Service: "s", Path: "/"})
			return err
		},
		"status of a gateway": func(ctx context.Context, address string) error {
			_, err := fetchGatewayStatus(ctx, address)
			return err
		},
	}
}

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

// Guards against a client that takes a broken response for an answer.
func TestBrokenResponsesAreErrors(t *testing.T) {
	for name, response := range brokenResponses(t) {
		for client, call := range clients() {
			t.Run(name+"/"+client, func(t *testing.T) {
				is := is.New(t)
				text := strings.ReplaceAll(response, oneEvent, emptyObject)
				address := fraw.Start(t, func(conn *net.TCPConn, r *http.Request) { fraw.End(conn, text) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := call(ctx, address)
				is.True(err != nil)
				is.True(!fault.Is(err, fault.Deadline)) // the client has noticed it
			})
		}
	}
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
