package topo

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a version of an earlier era that counts as newer because of its
// number.
func TestVersionsAreOrderedByEra(t *testing.T) {
	is := is.New(t)
	is.Equal(Version{1, 84}.Compare(Version{2, 79}), -1)
	is.Equal(Version{2, 79}.Compare(Version{2, 78}), 1)
	is.Equal(Version{}.Compare(Version{0, 1}), -1)
	is.Equal(Version{2, 79}.String(), "2/79")
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Version {
			return Version{rapid.Uint64Range(0, 3).Draw(t, name), rapid.Uint64Range(0, 3).Draw(t, name)}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if a.Compare(b) != -b.Compare(a) || (a.Compare(b) == 0) != (a == b) || a.Compare(b) <= 0 && b.Compare(c) <= 0 && a.Compare(c) > 0 {
			t.Fatalf("%s, %s and %s have no order", a, b, c)
		}
	})
}
