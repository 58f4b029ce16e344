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

	// firstMessageTag is the CBOR tag of the first message type; the other types
	// have the tags after it. They are in the first come, first served range and
	// private to this protocol.
	firstMessageTag = 55800
	// twoByteTagPrefix is the first byte of a CBOR tag whose number takes the next
	// two bytes.
	twoByteTagPrefix = 0xd9
	tagBytes         = 3
)

// messageTypes lists every message type in tag order. The order is part of the
// protocol: new types are only appended.
var (
	messageTypes = []Message{
		Hello{}, Heartbeat{}, Pull{}, Changes{}, Snapshot{}, Leaving{}, Load{}, Open{},
		Opened{}, Refused{}, Start{}, Step{}, Token{}, Cancel{}, Finished{}, StageFailed{},
		Stale{}, Resync{}, Call{}, Query{}, Outcome{}, QuotaRequest{}, QuotaGrant{}, GatewayState{},
		SyncRequest{}, SyncResponse{}, GroupState{}, SuspicionAlert{},
	}

	// contentDecoders decode the content of each message type, in the order of
	// messageTypes.
	contentDecoders = []func([]byte) (Message, []byte, error){
		decodeAs[Hello], decodeAs[Heartbeat], decodeAs[Pull], decodeAs[Changes], decodeAs[Snapshot], decodeAs[Leaving],
		decodeAs[Load], decodeAs[Open], decodeAs[Opened], decodeAs[Refused], decodeAs[Start], decodeAs[Step],
		decodeAs[Token], decodeAs[Cancel], decodeAs[Finished], decodeAs[StageFailed], decodeAs[Stale], decodeAs[Resync],
		decodeAs[Call], decodeAs[Query], decodeAs[Outcome], decodeAs[QuotaRequest], decodeAs[QuotaGrant], decodeAs[GatewayState],
		decodeAs[SyncRequest], decodeAs[SyncResponse], decodeAs[GroupState], decodeAs[SuspicionAlert],
	}

	encoder, decoder = newModes()
)

// Encode returns the CBOR encoding of a message.
func Encode(m Message) ([]byte, error) {
	b, err := encoder.Marshal(m)
	if err != nil {
		return nil, fault.Newf(fault.Internal, "cannot encode %T", m).WithCause(err)
	}
	if len(b) > MaxBytes {
		return nil, fault.Newf(fault.TooLarge, "message %T has %d bytes; limit is %d", m, len(b), MaxBytes)
	}
	return b, nil
}

// Decode returns the message in b, or an error with code Malformed.
func Decode(b []byte) (Message, error) {
	m, rest, err := DecodeFirst(b)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, fault.New(fault.Malformed, "unexpected bytes after the message")
	}
	return m, nil
}

// DecodeFirst returns the first message of a CBOR sequence (RFC 8742) and the
// bytes after it, or an error with code Malformed.
func DecodeFirst(b []byte) (Message, []byte, error) {
	// Every tag of this protocol takes three bytes, so the type is known before
	// the content is decoded. Having the CBOR library look up the type while
	// decoding into an interface took more than half of the time of a small
	// message.
	if len(b) < tagBytes || b[0] != twoByteTagPrefix {
		return nil, nil, fault.New(fault.Malformed, "message has no type tag")
	}
	i := int(binary.BigEndian.Uint16(b[1:])) - firstMessageTag
	if i < 0 || i >= len(messageTypes) {
		return nil, nil, fault.New(fault.Malformed, "unknown message type")
	}
	m, rest, err := contentDecoders[i](b[tagBytes:])
	if err != nil {
		return nil, nil, fault.New(fault.Malformed, "cannot decode message").WithCause(err)
	}
	return m, rest, nil
}

// decodeAs decodes the content that follows the tag of a message type.
func decodeAs[T Message](b []byte) (Message, []byte, error) {
	var m T
	rest, err := decoder.UnmarshalFirst(b, &m)
	return m, rest, err
}

func newModes() (cbor.EncMode, cbor.DecMode) {
	tags := cbor.NewTagSet()
	required := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for i, m := range messageTypes {
		if err := tags.Add(required, reflect.TypeOf(m), uint64(firstMessageTag+i)); err != nil {
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
