// Package token converts text to token values and back. The vocabulary holds
// the end-of-answer token, one token for each byte, and the words that the
// simulated model generates.
package token

import "strings"

const (
	// End is the token value that ends an answer; it has no text.
	End uint32 = 0
	// firstByte is the token value of byte 0; the other bytes follow it.
	firstByte uint32 = 1
	// FirstWord is the lowest token value of a word.
	FirstWord uint32 = firstByte + 256
	// WordCount is the number of words; a word is any two syllables.
	WordCount uint32 = syllables * syllables
	// VocabularySize is the number of token values.
	VocabularySize = FirstWord + WordCount

	consonants = "bdfghjklmnprstvz"
	vowels     = "aeio"
	syllables  = uint32(len(consonants) * len(vowels))

	// wordBytes is the length of the text of a word: a space and two
	// syllables of one consonant and one vowel.
	wordBytes = 5
)

// Encode returns the token values of a text: a word where one begins, else one
// byte. Decode(Encode(s)) equals s.
func Encode(text string) []uint32 {
	out := make([]uint32, 0, len(text))
	for len(text) > 0 {
		if v, ok := parseWord(text); ok {
			out = append(out, v)
			text = text[wordBytes:]
			continue
		}
		out = append(out, firstByte+uint32(text[0]))
		text = text[1:]
	}
	return out
}

// Decode returns the text of a sequence of token values.
func Decode(values []uint32) string {
	var b strings.Builder
	for _, v := range values {
		b.WriteString(Text(v))
	}
	return b.String()
}

// Text returns the text of one token value. It is empty for End and for values
// outside the vocabulary.
func Text(v uint32) string {
	switch {
	case v >= VocabularySize || v == End:
		return ""
	case v < FirstWord:
		return string([]byte{byte(v - firstByte)})
	}
	w := v - FirstWord
	return " " + syllable(w/syllables) + syllable(w%syllables)
}

// syllable returns the text of syllable number i.
func syllable(i uint32) string {
	n := uint32(len(vowels))
	return string([]byte{consonants[i/n], vowels[i%n]})
}

// parseWord returns the token value of the word that the text starts with, and
// whether there is one.
func parseWord(text string) (uint32, bool) {
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
