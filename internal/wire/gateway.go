package wire

import (
	"time"

	"shallotcourse/internal/topo"
)

type (
	// Pulse tells other gateways what the sender has in flight and which
	// targets fail. It is sent at short intervals and replaces the last one.
	Pulse struct {
		Use    map[string]Use `cbor:",omitempty"`
		Doubts []Doubt        `cbor:",omitempty"`
		// Repeats counts the sender's requests and repeats of each service.
		Repeats map[string]RepeatCount `cbor:",omitempty"`
		// Late counts pauses of streams that callers find too long, since the
		// last pulse.
		Late int
		// Term is the version of the lease if the sender plans the placement;
		// 0 if it does not.
		Term uint64
		// Targets holds what targets said of themselves to the planner and
		// their entries in the list do not show yet.
		Targets []topo.Target `cbor:",omitempty"`
		// Dead holds the targets that give the planner no reports.
		Dead []Doubt `cbor:",omitempty"`
	}

	// Use is the sender's work at one target.
	Use struct {
		TokenLayers    float64
		Running, First int
	}

	// RepeatCount is what the sender counts within the window of the bound.
	RepeatCount struct{ Requests, Repeats int }

	// Doubt is a target that the sender avoids.
	Doubt struct {
		ID   string
		Born int64
		Left time.Duration
	}

	// Vouch asks for the configuration and the list of targets, because the
	// sender cannot read them itself.
	Vouch struct {
		// Echo is repeated in the answer. Ages in the answer count from the
		// sending of the question.
		Echo uint64
		// Version is the configuration that the sender has.
		Version uint64
		// Targets asks for the list too.
		Targets bool
	}

	// Vouched answers Vouch.
	Vouched struct {
		Echo uint64
		// Version is the configuration in force at the sender; it was the
		// newest Age before the answer. Raw holds it if the asker's is older.
		Version uint64
		Age     time.Duration
		Raw     []byte
		// TargetsAge is how long before the answer the list was read; negative
		// if it was not asked for.
		TargetsAge     time.Duration
		TargetsVersion uint64
		Targets        []topo.Target
	}
)

func (Pulse) message()   {}
func (Vouch) message()   {}
func (Vouched) message() {}
