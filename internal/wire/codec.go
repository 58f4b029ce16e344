package wire

import (
	"encoding/binary"
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
	// tagHead is the first byte of a tag whose number follows in two bytes.
	tagHead  = 0xd9
	tagBytes = 3
)

// types lists every message in tag order. The order is part of the protocol:
// new types are added at the end only.
var (
	types = []Message{
		Hello{}, Heartbeat{}, Pull{}, Changes{}, Snapshot{}, Leaving{}, Load{},
		Open{}, Opened{}, Refused{}, Start{}, Step{}, Token{}, Cancel{},
		Finished{}, StageFailed{}, Stale{}, Resync{}, Call{}, Query{},
		Outcome{}, QuotaRequest{}, QuotaGrant{}, Pulse{}, Vouch{}, Vouched{}, Digest{}, Alarm{},
	}

	// readers decode the contents of the types, in the same order.
	readers = []func([]byte) (Message, []byte, error){
		read[Hello], read[Heartbeat], read[Pull], read[Changes], read[Snapshot], read[Leaving], read[Load],
		read[Open], read[Opened], read[Refused], read[Start], read[Step], read[Token], read[Cancel],
		read[Finished], read[StageFailed], read[Stale], read[Resync], read[Call], read[Query], read[Outcome],
		read[QuotaRequest], read[QuotaGrant], read[Pulse], read[Vouch], read[Vouched],
		read[Digest], read[Alarm],
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
	// Every tag of this protocol takes three bytes, so that the type is known
	// before the content is decoded. Leaving the look-up to the library, with
	// the content as any, took more than half of the time of a small message.
	if len(b) < tagBytes || b[0] != tagHead {
		return nil, nil, fault.New(fault.Malformed, "message has no tag")
	}
	i := int(binary.BigEndian.Uint16(b[1:])) - firstTag
	if i < 0 || i >= len(types) {
		return nil, nil, fault.New(fault.Malformed, "message has an unknown type")
	}
	m, rest, err := readers[i](b[tagBytes:])
	if err != nil {
		return nil, nil, fault.New(fault.Malformed, "message does not decode").WithCause(err)
	}
	return m, rest, nil
}

// read decodes the content of a message type.
func read[T Message](b []byte) (Message, []byte, error) {
	var m T
	rest, err := decoder.UnmarshalFirst(b, &m)
	return m, rest, err
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
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}
