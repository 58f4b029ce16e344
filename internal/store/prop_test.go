package store

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/pkg/resrc"
)

// Guards against a store that returns to an older revision, skips a change, or
// serves changes with gaps, when changes and snapshots arrive in any order.
func TestStoreFollowsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		states := drawHistory(t)
		last := len(states) - 1
		s := New(nil)
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			before := s.Snapshot().Revision
			from := rapid.IntRange(0, last).Draw(t, "from")
			to := rapid.IntRange(from, last).Draw(t, "to")
			if rapid.Bool().Draw(t, "snapshot") {
				is.Equal(s.ApplySnapshot(states[to].snapshot), uint64(to) > before)
			} else {
				var changes []resrc.Change
				for i := from + 1; i <= to; i++ {
					changes = append(changes, states[i].change)
				}
				complete := s.ApplyChanges(changes)
				is.Equal(complete, uint64(from) <= before || len(changes) == 0)
			}
			now := s.Snapshot()
			is.True(now.Revision >= before)
			is.Equal(now.List(resrc.KindModelVersion), states[now.Revision].snapshot.List(resrc.KindModelVersion))
			r, _ := now.Get(resrc.KindModelVersion, "oak-1")
			want, _ := states[now.Revision].snapshot.Get(resrc.KindModelVersion, "oak-1")
			is.Equal(r, want)
			since := rapid.IntRange(0, last).Draw(t, "since")
			changes, ok := s.ChangesSince(uint64(since))
			for i, c := range changes {
				is.Equal(c, states[since+1+i].change)
			}
			is.True(!ok || uint64(since+len(changes)) >= now.Revision)
		}
	})
}

// state is a snapshot and the change that led to it.
type state struct {
	change   resrc.Change
	snapshot Snapshot
}

// drawHistory returns a random history, indexed by revision; index 0 is the
// empty state.
func drawHistory(t *rapid.T) []state {
	states := []state{{}}
	for range rapid.IntRange(1, 20).Draw(t, "changes") {
		last := states[len(states)-1].snapshot
		c := resrc.Change{
			Revision: last.Revision + 1, Kind: resrc.KindModelVersion, Operation: resrc.OperationDelete,
			Name: fmt.Sprintf("oak-%d", rapid.IntRange(1, 3).Draw(t, "name")),
		}
		if rapid.Bool().Draw(t, "put") {
			c.Operation = resrc.OperationPut
			c.Body = []byte(fmt.Sprintf(`{"Model":"oak","Layers":%d}`, rapid.IntRange(1, 9).Draw(t, "layers")))
		}
		next, ok := last.WithChange(c)
		if !ok {
			t.Fatalf("change %v does not apply", c)
		}
		states = append(states, state{c, next})
	}
	return states
}
