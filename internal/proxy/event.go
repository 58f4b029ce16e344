package proxy

import (
	"bufio"
	"bytes"
	"io"

	"shallotcourse/internal/fault"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 256 << 10
	// eventBuffer is the size of the read buffer of each stream, in bytes.
	eventBuffer = 4 << 10
)

type (
	// event is one complete server-sent event, with the empty line that ends
	// it.
	event struct {
		raw []byte
		// id is the value of the event's id field; empty if it has none.
		id string
		// comment is true if the event has no fields, only comments. A target that
		// sends such events makes no progress.
		comment bool
		// named is true if it has a field that server-sent events define.
		named bool
	}

	// eventReader splits a body into events, each ended by an empty line.
	eventReader struct{ r *bufio.Reader }
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next complete event. It returns io.EOF only if the body ends
// without an error and right after an event.
func (e *eventReader) next() (event, error) {
	ev := event{comment: true}
	start := 0
	for {
		part, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, part...)
		switch {
		case len(ev.raw) > maxEventBytes:
			return ev, fault.Newf(fault.TooLarge, "an event exceeds %d bytes", maxEventBytes).WithOutcome(fault.Partial)
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(ev.raw) > 0:
			return ev, fault.New(fault.TargetLost, "the stream ended inside an event").WithOutcome(fault.Partial)
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(ev.raw[start:], "\r\n")
		start = len(ev.raw)
		if len(text) == 0 {
			return ev, nil
		}
		ev.comment = ev.comment && text[0] == ':'
		switch name, _, _ := bytes.Cut(text, []byte(":")); string(name) {
		case "id", "data", "event", "retry":
			ev.named = true
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
