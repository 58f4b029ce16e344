package topo

import (
	"cmp"
	"fmt"
)

// Version is a version of the platform's store. The store counts its writes, and
// it gives numbers out again after it has come back from an older copy; the era
// rises each time. The zero Version is none.
type Version struct {
	// Era is 0 for stores that name none.
	Era    uint64
	Number uint64
}

// Compare orders versions by era, then by number.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Number, o.Number))
}

// IsZero reports whether v is no version.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the era and the number, as shown to operators.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era, v.Number) }
