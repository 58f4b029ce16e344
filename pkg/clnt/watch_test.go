package clnt_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/opapi"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

// cutWriter aborts a response after a number of writes, like a lost connection.
type cutWriter struct {
	http.ResponseWriter
	remaining int
}

func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutWriter) Write(b []byte) (int, error) {
	if c.remaining--; c.remaining < 0 {
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(b)
}

// Guards against a watch that skips or repeats changes when its stream is cut
// and resumes at another entry, and against one that ends without an error.
func TestWatchResumes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	platform := httptest.NewServer(fplat.New(timer.System{}))
	defer platform.Close()
	var cuts atomic.Int64
	var urls []string
	for range 2 {
		s := store.New(plat.NewClient(platform.URL).Table)
		go func() { _ = s.Run(ctx) }()
		h := opapi.New(opapi.Options{Store: s, Operators: []opapi.Operator{{Name: "asta", KeyHash: opapi.HashKey("key")}}})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/watch" && cuts.Add(1) <= 3 {
				w = &cutWriter{ResponseWriter: w, remaining: 4}
			}
			h.ServeHTTP(w, r)
		}))
		defer server.Close()
		urls = append(urls, server.URL)
	}
	client := clnt.New(urls, "key")
	const total = 20
	go func() {
		for i := range total {
			_, _ = client.Put(ctx, resrc.Resource{Kind: resrc.KindService, Name: fmt.Sprintf("app-%d", i), Spec: resrc.Service{}}, "")
		}
	}()
	next := uint64(1)
	err := client.Watch(ctx, 0, func(e clnt.Event) error {
		if e.Change == nil {
			return nil
		}
		is.Equal(e.Change.Revision, next)
		next++
		if next > total {
			return fault.New(fault.Canceled, "enough")
		}
		return nil
	})
	is.True(fault.Is(err, fault.Canceled))
	is.True(cuts.Load() > 3) // the streams were cut

	cancel()
	is.True(clnt.New(urls, "wrong").Watch(context.Background(), 0, nil) != nil)
}
