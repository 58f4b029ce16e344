package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/once"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
)

// Guards against a table that grows without bound, and against the removal of a
// claim while a retry of its call could run a second time.
func TestSweepDeletesOnlyOutlivedClaims(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	server := httptest.NewServer(fplat.New(timer.System{}))
	defer server.Close()
	table := plat.NewClient(server.URL).Table
	now := time.Unix(1_000_000_000, 0)
	put := func(name string, state once.ClaimState, age time.Duration) {
		b, err := once.EncodeClaim(once.Claim{State: state, Created: now.Add(-age)})
		is.NoErr(err)
		is.NoErr(table.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: once.ClaimKey("acme", name), Value: b}}}))
	}
	for i := range sweepPageRows + 10 {
		put(fmt.Sprintf("done-%03d", i), once.ClaimDone, 25*time.Hour)
	}
	put("fresh", once.ClaimDone, 23*time.Hour)
	put("open", once.ClaimOpen, 25*time.Hour)
	put("unknown", once.ClaimUnknown, 6*24*time.Hour)
	put("unknown-old", once.ClaimUnknown, 8*24*time.Hour)
	s := &sweeper{entry: &Entry{cfg: Config{Timer: timer.NewManual(now), Table: table}}}
	s.entry.metrics = newEntryMetrics(metrics.NewSet(), s.entry)
	for range 20 {
		s.sweepPage(ctx)
	}
	rows, err := table.List(ctx, once.ClaimPrefix, "", 1000)
	is.NoErr(err)
	var left []string
	for _, r := range rows {
		left = append(left, r.Key)
	}
	is.Equal(left, []string{"Claim/acme/fresh", "Claim/acme/open", "Claim/acme/unknown"})
}
