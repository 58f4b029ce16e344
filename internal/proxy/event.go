package proxy

import (
	"bufio"
	"bytes"
	"io"

	"shallotcourse/internal/fault"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// eventBuffer is held by each stream.
	eventBuffer = 4 << 10
)

type (
	// event is one whole event of a stream.
	event struct {
		raw []byte
		// id is empty if the event has none.
		id string
	}

	// eventReader splits a body into events, each ended by an empty line.
	eventReader struct{ r *bufio.Reader }
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event. Its end is io.EOF only if the body ended
// properly and no part of an event is left over.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case len(ev.raw) > maxEventBytes:
			return ev, fault.Newf(fault.TooLarge, "an event has more than %d bytes", maxEventBytes).WithOutcome(fault.Partial)
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(ev.raw) > 0:
			return ev, fault.New(fault.TargetLost, "the stream ended inside an event").WithOutcome(fault.Partial)
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
