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
		// Follow asks the receiver to pass on what the sender tells, and to tell
		// what all others do.
		Follow bool `cbor:",omitempty"`
	}

	// Digest is what the leader of a group of gateways tells. To other leaders
	// it is the sum of the group, to its followers the sum of all gateways,
	// what they told themselves included.
	Digest struct {
		Group string
		// All says that the sum is of all gateways.
		All     bool            `cbor:",omitempty"`
		Use     map[string]Use  `cbor:",omitempty"`
		Doubts  []Doubt         `cbor:",omitempty"`
		Lives   map[string]Life `cbor:",omitempty"`
		Late    int             `cbor:",omitempty"`
		Term    uint64          `cbor:",omitempty"`
		Targets []topo.Target   `cbor:",omitempty"`
		Dead    []Doubt         `cbor:",omitempty"`
		// Config, List and Members are the versions of what followers ask the
		// leader for.
		Config, List, Members uint64 `cbor:",omitempty"`
	}

	// Life is what one lifetime of a gateway, named by its incarnation, counts
	// within the window of the bound of repeats.
	Life struct {
		Age    time.Duration
		Counts map[string]RepeatCount
	}

	// Alarm passes new doubts on at once.
	Alarm struct{ Doubts []Doubt }

	// Member is a gateway.
	Member struct {
		Instance string
		// Address accepts links.
		Address    string
		DataCentre string
		// Power is the processor share of the gateway, in thousandths of a core.
		Power int
	}

	// Use is the sender's work at one target.
	Use struct {
		TokenLayers            float64
		Running, First, Unread int
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
		// Targets asks for the list too, in full if ListVersion is 0 and
		// otherwise what has changed since.
		Targets     bool
		ListVersion uint64
		// Members is the version of the sender's list of gateways; a follower
		// gets another one in the answer.
		Members uint64
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
		// Changes says that Targets holds the targets that have changed, and
		// Gone those that are no longer listed.
		Changes bool
		Gone    []string
		Members []Member
	}
)

func (Pulse) message()   {}
func (Vouch) message()   {}
func (Vouched) message() {}
func (Digest) message()  {}
func (Alarm) message()   {}
