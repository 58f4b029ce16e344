package token

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against text that differs after encoding and decoding.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.String().Draw(t, "text")
		if got := Decode(Encode(s)); got != s {
			t.Fatalf("got %q, want %q", got, s)
		}
	})
}

// Guards against two token values with the same text: a test that compares
// texts would miss a wrong token in an answer.
func TestWordsAreDistinct(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for v := FirstWord; v < VocabularySize; v++ {
		is.True(!seen[Text(v)])
		seen[Text(v)] = true
		is.Equal(Encode(Text(v)), []uint32{v})
	}
}
