package plat_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fakes/relay"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

// Guards against a write that is reported as NotRun although it may have taken
// effect, and against one reported as Unknown although nothing was sent.
func TestOutcomeOfFailures(t *testing.T) {
	platform := fplat.New(timer.System{})
	server := httptest.NewServer(platform)
	defer server.Close()
	stopped := httptest.NewServer(nil)
	stopped.Close()
	put := plat.Txn{Writes: []plat.Write{{Key: "a", Value: []byte("1")}}}
	conflicting := plat.Txn{Conditions: []plat.Condition{{Key: "a", Version: 99}}, Writes: put.Writes}
	for _, c := range []struct {
		name    string
		url     string
		faults  fplat.Faults
		txn     plat.Txn
		code    fault.Code
		outcome fault.Outcome
	}{
		{"refused connection", stopped.URL, fplat.Faults{}, put, fault.Unavailable, fault.NotRun},
		{"outage", server.URL, fplat.Faults{Outage: true}, put, fault.Unavailable, fault.NotRun},
		{"lost answer", server.URL, fplat.Faults{LoseAnswers: 1}, put, fault.Unavailable, fault.Unknown},
		{"lost request", server.URL, fplat.Faults{LoseRequests: 1}, put, fault.Unavailable, fault.Unknown},
		{"silent", server.URL, fplat.Faults{Silent: true}, put, fault.Unavailable, fault.Unknown},
		{"slow", server.URL, fplat.Faults{Delay: resrc.Duration(2 * time.Second)}, put, fault.Unavailable, fault.Unknown},
		{"conflict", server.URL, fplat.Faults{}, conflicting, fault.Conflict, fault.NotRun},
		{"too large", server.URL, fplat.Faults{}, plat.Txn{Writes: []plat.Write{{Key: "a", Value: make([]byte, 1<<20+1)}}}, fault.TooLarge, fault.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			platform.SetFaults(c.faults)
			// The short timeout is for the faults without a response; encoding
			// the large body takes longer than that on a busy machine.
			timeout := 300 * time.Millisecond
			if c.code == fault.TooLarge {
				timeout = 10 * time.Second
			}
			client := plat.NewClient(c.url, plat.WithTimeout(timeout))
			e := fault.As(client.Table.Commit(context.Background(), c.txn))
			is.Equal(e.Code, c.code)
			is.Equal(e.Outcome, c.outcome)
			_, err := client.Table.Read(context.Background(), "absent")
			is.Equal(fault.As(err).Outcome, fault.NotRun) // a read has no effect
		})
	}
}

// Guards against reads that keep failing on pooled connections which no longer
// answer, while new connections work.
func TestReadLeavesSilentConnections(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	server := httptest.NewServer(fplat.New(timer.System{}))
	defer server.Close()
	r, err := relay.Start("127.0.0.1:0", server.Listener.Addr().String())
	is.NoErr(err)
	defer r.Close()
	client := plat.NewClient("http://"+r.Address(), plat.WithTimeout(200*time.Millisecond))
	var wg sync.WaitGroup
	for range 8 { // fills the pool
		wg.Go(func() { _, _ = client.Instances.List(ctx) })
	}
	wg.Wait()
	r.Silence()
	_, err = client.Instances.List(ctx)
	is.NoErr(err)
	r.Silence()
	put := plat.Txn{Writes: []plat.Write{{Key: "a", Value: []byte("1")}}}
	is.Equal(fault.As(client.Table.Commit(ctx, put)).Outcome, fault.Unknown) // a write is not retried
	is.NoErr(client.Table.Commit(ctx, put))
}

// Guards against a lost update when a row is deleted and created again with an
// earlier version.
func TestVersionsNeverReturn(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	server := httptest.NewServer(fplat.New(timer.System{}))
	defer server.Close()
	table := plat.NewClient(server.URL).Table
	put := plat.Txn{Conditions: []plat.Condition{{Key: "a"}}, Writes: []plat.Write{{Key: "a", Value: []byte("1")}}}
	is.NoErr(table.Commit(ctx, put))
	first, err := table.Read(ctx, "a")
	is.NoErr(err)
	is.True(fault.Is(table.Commit(ctx, put), fault.Conflict))
	is.NoErr(table.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: "a", Delete: true}}}))
	is.NoErr(table.Commit(ctx, put))
	second, err := table.Read(ctx, "a")
	is.NoErr(err)
	is.True(second.Version > first.Version)
	rows, err := table.List(ctx, "", "a", 10)
	is.NoErr(err)
	is.Equal(len(rows), 0) // after is exclusive
}

// Guards against a fake platform that ignores rate limits or the list lag, which
// would hide failures from the tests that use it.
func TestRatesAndLag(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	platform := fplat.New(clock)
	server := httptest.NewServer(platform)
	defer server.Close()
	client := plat.NewClient(server.URL)
	platform.SetFaults(fplat.Faults{
		ReadsPerSecond: 1, WeightBytesPerSecond: 100, ListLag: resrc.Duration(3 * time.Second),
	})
	is.NoErr(client.Weights.Reserve(ctx, "oak", 250)) // the bucket is full and goes into debt
	e := fault.As(client.Weights.Reserve(ctx, "oak", 50))
	is.Equal(e.Code, fault.Overloaded)
	is.True(e.RetryAfter > 1900*time.Millisecond && e.RetryAfter < 2100*time.Millisecond)
	clock.Advance(e.RetryAfter)
	is.NoErr(client.Weights.Reserve(ctx, "oak", 50))

	platform.SetInstance(plat.Instance{Name: "agent-1", State: plat.StateLive})
	list, err := client.Instances.List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0) // the list lags
	_, err = client.Table.Read(ctx, "a")
	is.True(fault.Is(err, fault.Overloaded)) // one read a second
	clock.Advance(3 * time.Second)
	list, err = client.Instances.List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
}

// Guards against memory that grows with an answer without end, and against an object
// that is returned without its end.
func TestResponsesAreBounded(t *testing.T) {
	const limit = 1 << 10
	for _, c := range []struct {
		bytes int
		ok    bool
	}{{limit, true}, {limit + 1, false}, {64 * limit, false}} {
		t.Run(fmt.Sprint(c.bytes), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, c.bytes))
			}))
			defer server.Close()
			data, err := plat.NewClient(server.URL, plat.WithResponseBytes(limit)).Objects.Get(context.Background(), "o")
			is.Equal(err == nil, c.ok)
			is.Equal(len(data) == c.bytes, c.ok)
		})
	}
}
