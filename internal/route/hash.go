package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns a key by rendezvous hashing; empty if there are
// no members.
func Owner(key string, members []string) string {
	top := Subset(key, members, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// Subset returns the n members that rank highest for a key by rendezvous hashing, in
// order of rank. A member that joins or leaves changes only the subsets that contain
// it.
func Subset(key string, members []string, n int) []string {
	k := xxhash.Sum64String(key)
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(rank(k, b), rank(k, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out[:min(n, len(out))]
}

// PrefixHash returns the hash of the first block tokens of a prompt, for cache
// affinity. It returns 0, which means no affinity, for shorter prompts.
func PrefixHash(tokens []uint32, block int) uint64 {
	if len(tokens) < block {
		return 0
	}
	b := make([]byte, 4*block)
	for i, t := range tokens[:block] {
		binary.LittleEndian.PutUint32(b[4*i:], t)
	}
	return max(1, xxhash.Sum64(b))
}

// rank returns the rendezvous hash of a member for a key.
func rank(key uint64, member string) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(member)
	return d.Sum64()
}
