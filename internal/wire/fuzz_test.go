package wire

import (
	"testing"
)

// FuzzDecode guards against messages of peers that make a process panic, and
// against ones that are decoded but cannot be sent again.
func FuzzDecode(f *testing.F) {
	for _, m := range messageTypes {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, rest, err := DecodeFirst(b)
		if err != nil {
			return
		}
		if len(rest) >= len(b) {
			t.Fatalf("%T takes no bytes", m)
		}
		if _, err := Encode(m); err != nil {
			t.Fatalf("%T is decoded and cannot be encoded: %v", m, err)
		}
	})
}
