package fengn

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"shallotcourse/internal/token"
)

const (
	// endOneIn is the mean number of sampled tokens up to the end token.
	endOneIn = 64

	// outputBytes is the size of one position's output.
	outputBytes = 8
	// tokenBytes is the size of one position's input to layer 0.
	tokenBytes = 4
)

// model computes layer outputs and samples tokens for one session. The fields
// go into the hashes.
type model struct {
	version uint64
	adapter uint64
	seed    uint64
	// endless prevents the end token from being sampled.
	endless bool
}

func newModel(version, adapter string, seed uint64, endless bool) model {
	return model{version: xxhash.Sum64String(version), adapter: xxhash.Sum64String(adapter), seed: seed, endless: endless}
}

// layer returns the output of one layer at a position. The output is also the
// layer's KV cache state after the position: it depends on all inputs of the
// layer so far, so that a layer that is skipped, repeated or run out of order
// changes it.
func (m model) layer(layer, position int, input, state uint64) uint64 {
	return hash64(m.version, m.adapter, uint64(layer), uint64(position), input, state)
}

// sample derives the next token from the last layer's output.
func (m model) sample(position int, output uint64) (value uint32, end bool) {
	h := hash64(m.seed, uint64(position), output)
	if !m.endless && (h>>40)%endOneIn == 0 {
		return token.End, true
	}
	return token.FirstWord + uint32(h%uint64(token.WordCount)), false
}

// Reference computes the correct answer to a prompt directly, without engines or
// the router. An answer that the model ends has token.End as its last value.
func Reference(version, adapter string, layers int, prompt []uint32, maxTokens int, seed uint64) []uint32 {
	return reference(newModel(version, adapter, seed, false), layers, prompt, maxTokens)
}

// ReferenceEndless is Reference for engines with Config.Endless.
func ReferenceEndless(version, adapter string, layers int, prompt []uint32, maxTokens int, seed uint64) []uint32 {
	return reference(newModel(version, adapter, seed, true), layers, prompt, maxTokens)
}

func reference(m model, layers int, prompt []uint32, maxTokens int) []uint32 {
	var answer []uint32
	state := make([]uint64, layers)
	for position := 0; len(answer) < maxTokens; position++ {
		var input uint64
		if position < len(prompt) {
			input = uint64(prompt[position])
		} else {
			input = uint64(answer[position-len(prompt)])
		}
		for l := range state {
			state[l] = m.layer(l, position, input, state[l])
			input = state[l]
		}
		if position < len(prompt)-1 {
			continue
		}
		value, end := m.sample(position, input)
		answer = append(answer, value)
		if end {
			break
		}
	}
	return answer
}

func hash64(parts ...uint64) uint64 {
	var buf [64]byte
	b := buf[:0]
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint64(b, p)
	}
	return xxhash.Sum64(b)
}
