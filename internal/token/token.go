// Package token converts text to token values and back. The vocabulary holds
// the end mark, every byte, and the words that the stand-in model generates.
package token

import "strings"

const (
	// End is the value that ends an answer; it has no text.
	End uint32 = 0
	// firstByte is the value of byte 0.
	firstByte uint32 = 1
	// FirstWord is the lowest value that stands for a word.
	FirstWord uint32 = firstByte + 256
	// Words is the number of words.
	Words uint32 = syllables * syllables
	// Vocabulary is the number of values.
	Vocabulary = FirstWord + Words

	consonants = "bdfghjklmnprstvz"
	vowels     = "aeio"
	syllables  = uint32(len(consonants) * len(vowels))

	// wordBytes is the length of the text of a word: a space and two
	// syllables of two letters.
	wordBytes = 5
)

// Encode returns the values of a text. Decode(Encode(s)) equals s.
func Encode(text string) []uint32 {
	out := make([]uint32, 0, len(text))
	for len(text) > 0 {
		if v, ok := word(text); ok {
			out = append(out, v)
			text = text[wordBytes:]
			continue
		}
		out = append(out, firstByte+uint32(text[0]))
		text = text[1:]
	}
	return out
}

// Decode returns the text of values.
func Decode(values []uint32) string {
	var b strings.Builder
	for _, v := range values {
		b.WriteString(Text(v))
	}
	return b.String()
}

// Text returns the text of one value; empty for End and for values outside
// the vocabulary.
func Text(v uint32) string {
	switch {
	case v >= Vocabulary || v == End:
		return ""
	case v < FirstWord:
		return string([]byte{byte(v - firstByte)})
	}
	w := v - FirstWord
	return " " + syllable(w/syllables) + syllable(w%syllables)
}

func syllable(i uint32) string {
	n := uint32(len(vowels))
	return string([]byte{consonants[i/n], vowels[i%n]})
}

// word returns the value of the word at the start of a text.
func word(text string) (uint32, bool) {
	if len(text) < wordBytes || text[0] != ' ' {
		return 0, false
	}
	var w uint32
	for i := 1; i < wordBytes; i += 2 {
		c, v := strings.IndexByte(consonants, text[i]), strings.IndexByte(vowels, text[i+1])
		if c < 0 || v < 0 {
			return 0, false
		}
		w = w*syllables + uint32(c*len(vowels)+v)
	}
	return FirstWord + w, true
}
