package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"shallotcourse/internal/fault"
)

const (
	// MaxBytes bounds one encoded message.
	MaxBytes = 16 << 20

	// firstTag is the CBOR tag of the first message type. Tags from here on
	// are in the first come first served range and private to this protocol.
	firstTag = 55800
)

// types lists every message in tag order. The order is part of the protocol:
// new types are added at the end only.
var (
	types = []Message{
		Hello{}, Heartbeat{}, Pull{}, Changes{}, Snapshot{}, Leaving{}, Load{},
		Open{}, Opened{}, Refused{}, Start{}, Step{}, Token{}, Cancel{},
		Finished{}, StageFailed{}, Stale{}, Resync{}, Call{}, Query{},
		Outcome{}, QuotaRequest{}, QuotaGrant{},
	}

	encoder, decoder = modes()
)

// Encode returns the CBOR form of a message.
func Encode(m Message) ([]byte, error) {
	b, err := encoder.Marshal(m)
	if err != nil {
		return nil, fault.Newf(fault.Internal, "cannot encode %T", m).WithCause(err)
	}
	if len(b) > MaxBytes {
		return nil, fault.Newf(fault.TooLarge, "message %T has %d bytes; allowed: %d", m, len(b), MaxBytes)
	}
	return b, nil
}

// Decode returns the message in b, or a Malformed failure.
func Decode(b []byte) (Message, error) {
	m, rest, err := DecodeFirst(b)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, fault.New(fault.Malformed, "bytes follow the message")
	}
	return m, nil
}

// DecodeFirst returns the first message of a CBOR sequence (RFC 8742) and the
// bytes after it, or a Malformed failure.
func DecodeFirst(b []byte) (Message, []byte, error) {
	var v any
	rest, err := decoder.UnmarshalFirst(b, &v)
	if err != nil {
		return nil, nil, fault.New(fault.Malformed, "message does not decode").WithCause(err)
	}
	m, ok := v.(Message)
	if !ok {
		return nil, nil, fault.New(fault.Malformed, "message has an unknown type")
	}
	return m, rest, nil
}

func modes() (cbor.EncMode, cbor.DecMode) {
	tags := cbor.NewTagSet()
	required := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for i, m := range types {
		if err := tags.Add(required, reflect.TypeOf(m), uint64(firstTag+i)); err != nil {
			panic(err)
		}
	}
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16}.DecModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	return enc, dec
}
