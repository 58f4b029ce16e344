package proxy

import (
	"bytes"
	"testing"
)

// FuzzEventReader guards against streams that make the reader panic, lose or
// invent bytes, or return an event beyond the limit.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: note\n\nid: 3\nda"))
	f.Add([]byte("\n\r\n\xff\x00id:\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newEventReader(bytes.NewReader(body))
		var all []byte
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			if len(ev.raw) > maxEventBytes {
				t.Fatalf("an event has %d bytes", len(ev.raw))
			}
			all = append(all, ev.raw...)
		}
		if !bytes.HasPrefix(body, all) {
			t.Fatalf("events %q are no prefix of %q", all, body)
		}
	})
}
