package once

import "github.com/cespare/xxhash/v2"

const (
	// filterBits makes 8 MiB. With 7 probes, one in 8 million unknown nonces
	// is taken for a forgotten one after 1 million calls, and one in 400
	// after 5 million; such a call ends as Unknown.
	filterBits   = 64 << 20
	filterProbes = 7
)

// filter is a Bloom filter: it never misses a nonce that was added. It takes
// no memory before the first add.
type filter struct{ words []uint64 }

func (f *filter) add(k key) {
	if f.words == nil {
		f.words = make([]uint64, filterBits/64)
	}
	f.probe(k, func(word *uint64, bit uint64) bool {
		*word |= bit
		return true
	})
}

func (f *filter) has(k key) bool {
	if f.words == nil {
		return false
	}
	return f.probe(k, func(word *uint64, bit uint64) bool { return *word&bit != 0 })
}

// probe visits the bits of a key while visit returns true.
func (f *filter) probe(k key, visit func(word *uint64, bit uint64) bool) bool {
	h := xxhash.Sum64String(k.id + "\x00" + k.nonce)
	step := h>>32 | 1
	for range filterProbes {
		at := h % filterBits
		if !visit(&f.words[at/64], 1<<(at%64)) {
			return false
		}
		h += step
	}
	return true
}
