package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/pkg/resrc"
)

// Guards against a message type without a tag, and against fields that are lost
// in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range messageTypes {
		b, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.Equal(got, m)
	}
	full := Open{
		Request: "r", Attempt: 2, Index: 1, Chain: []Stage{{"t", "127.0.0.1:1", resrc.LayerRange{From: 0, To: 4}}},
		Prompt: []uint32{1, 2}, Deadline: time.Second,
	}
	b, err := Encode(full)
	is.NoErr(err)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(got, full)
}

// Guards against a malformed or unknown message reaching a handler.
func TestDecodeRejects(t *testing.T) {
	is := is.New(t)
	for _, b := range [][]byte{nil, {0xff}, {0x01}, []byte("text"), {0xd9, 0xff, 0xff, 0xa0}, {0xd9, 0xd9, 0xf8}, {0xd9, 0xd9, 0xf8, 0x01}} {
		_, err := Decode(b)
		is.True(fault.Is(err, fault.Malformed))
	}
}

// Guards against eras that are lost between gateways, and against messages that
// builds without eras would read differently: they leave the era out.
func TestErasOfGateways(t *testing.T) {
	is := is.New(t)
	for _, m := range []Message{
		GatewayState{Term: 82, TermEra: 2}, GroupState{Term: 82, TermEra: 2, List: 79, ListEra: 2},
		SyncRequest{TargetsVersion: 79, TargetsEra: 2}, SyncResponse{TargetsVersion: 79, TargetsEra: 2},
	} {
		b, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.Equal(got, m)
	}
	for _, m := range []Message{GatewayState{Term: 82}, GroupState{Term: 82, List: 79}, SyncRequest{TargetsVersion: 79}, SyncResponse{TargetsVersion: 79}} {
		b, err := Encode(m)
		is.NoErr(err)
		is.True(!bytes.Contains(b, []byte("Era")))
	}
}
