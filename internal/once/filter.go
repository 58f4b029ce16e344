package once

import "github.com/cespare/xxhash/v2"

const (
	// filterSizeBits is 8 MiB. With 7 probes the rate of false positives is 1
	// in 8 million after 1 million calls, and 1 in 400 after 5 million. A call
	// with a false positive ends as Unknown.
	filterSizeBits = 64 << 20
	filterProbes   = 7
)

// filter is a Bloom filter of nonces: it has no false negatives. It allocates no
// memory before the first add.
type filter struct{ words []uint64 }

func (f *filter) add(k callKey) {
	if f.words == nil {
		f.words = make([]uint64, filterSizeBits/64)
	}
	f.visitBits(k, func(word *uint64, bit uint64) bool {
		*word |= bit
		return true
	})
}

func (f *filter) has(k callKey) bool {
	if f.words == nil {
		return false
	}
	return f.visitBits(k, func(word *uint64, bit uint64) bool { return *word&bit != 0 })
}

// visitBits calls visit for each bit of a key, until visit returns false. It
// reports whether all calls returned true.
func (f *filter) visitBits(k callKey, visit func(word *uint64, bit uint64) bool) bool {
	h := xxhash.Sum64String(k.id + "\x00" + k.nonce)
	step := h>>32 | 1
	for range filterProbes {
		at := h % filterSizeBits
		if !visit(&f.words[at/64], 1<<(at%64)) {
			return false
		}
		h += step
	}
	return true
}
