package store

import (
	"testing"

	"github.com/matryer/is"

	"shallotcourse/pkg/resrc"
)

// Guards against a change that is applied twice, out of order or after a gap.
func TestWithChangeOrder(t *testing.T) {
	is := is.New(t)
	put := func(revision uint64, layers string) resrc.Change {
		return resrc.Change{
			Revision: revision, Operation: resrc.OperationPut, Kind: resrc.KindModelVersion, Name: "oak-1",
			Body: []byte(`{"Model":"oak","Layers":` + layers + `}`),
		}
	}
	s1, ok := Snapshot{}.WithChange(put(1, "4"))
	is.True(ok)
	s2, ok := s1.WithChange(put(2, "8"))
	is.True(ok)
	_, ok = s2.WithChange(put(2, "4"))
	is.True(!ok) // the same revision again
	_, ok = s2.WithChange(put(4, "4"))
	is.True(!ok) // gap
	v, ok := Spec[resrc.ModelVersion](s2, "oak-1")
	is.True(ok)
	is.Equal(v.Layers, 8)
	old, _ := Spec[resrc.ModelVersion](s1, "oak-1")
	is.Equal(old.Layers, 4) // the earlier snapshot is unchanged
}
