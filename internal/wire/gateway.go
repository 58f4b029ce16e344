package wire

import (
	"time"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/topo"
)

type (
	// GatewayState is a gateway's own state: the work that it has in flight and
	// the targets that it avoids. Each message replaces the sender's previous
	// one.
	GatewayState struct {
		Loads      map[string]TargetLoad `cbor:"Use,omitempty"`
		Suspicions []Suspicion           `cbor:"Doubts,omitempty"`
		// Retries holds the sender's counts of requests and retries by service.
		Retries map[string]RetryCount `cbor:"Repeats,omitempty"`
		// LatePauses counts the pauses in streams, since the previous message,
		// that were too long for callers.
		LatePauses int `cbor:"Late"`
		// Term is the version of the planner's lease if the sender holds it;
		// otherwise 0. TermEra is the era of the store that it belongs to; builds
		// that know no eras leave it out.
		Term    uint64
		TermEra uint64 `cbor:",omitempty"`
		// Targets holds the targets' status reports to the planner that their
		// entries in the target list do not show yet.
		Targets []topo.Target `cbor:",omitempty"`
		// Unresponsive holds the targets that answer no polls of the planner.
		Unresponsive []Suspicion `cbor:"Dead,omitempty"`
		// Config is the sender's version of the configuration. A receiver with an
		// older one asks for it.
		Config uint64 `cbor:",omitempty"`
		// Follow asks the receiver to act as the sender's leader: to forward the
		// sender's state and to send the state of all gateways.
		Follow bool `cbor:",omitempty"`
	}

	// GroupState is sent by the leader of a group of gateways. To other leaders
	// it holds the sum over the group, to followers the sum over all gateways,
	// the receiver's own state included.
	GroupState struct {
		Group string
		// AllGateways is set if the sum is over all gateways.
		AllGateways  bool                         `cbor:"All,omitempty"`
		Loads        map[string]TargetLoad        `cbor:"Use,omitempty"`
		Suspicions   []Suspicion                  `cbor:"Doubts,omitempty"`
		Incarnations map[string]IncarnationCounts `cbor:"Lives,omitempty"`
		LatePauses   int                          `cbor:"Late,omitempty"`
		Term         uint64                       `cbor:",omitempty"`
		TermEra      uint64                       `cbor:",omitempty"`
		Targets      []topo.Target                `cbor:",omitempty"`
		Unresponsive []Suspicion                  `cbor:"Dead,omitempty"`
		// Config, List and Members are the leader's versions of the
		// configuration, the target list and the gateway list. A follower sends
		// a SyncRequest if it lacks one of the first two.
		Config, List, Members uint64 `cbor:",omitempty"`
		// ListEra is the era of the store that List belongs to; builds that know
		// no eras leave it out.
		ListEra uint64 `cbor:",omitempty"`
	}

	// IncarnationCounts holds the requests and retries by service that one
	// incarnation of a gateway counted within the window of the retry limit,
	// as known Age ago.
	IncarnationCounts struct {
		Age    time.Duration
		Counts map[string]RetryCount
	}

	// SuspicionAlert passes new suspicions on without waiting for the next
	// GatewayState or GroupState.
	SuspicionAlert struct {
		Suspicions []Suspicion `cbor:"Doubts"`
		// Prompts is what the sender knows of parts of prompts under which targets
		// end. It is also sent at regular times.
		Prompts *blame.Report `cbor:",omitempty"`
		// Limits holds limits that targets have named. It is also sent at regular
		// times.
		Limits []limit.TargetLimit `cbor:",omitempty"`
	}

	// Member is a gateway.
	Member struct {
		Instance string
		// Address accepts links.
		Address    string
		DataCentre string
		// MilliCores is the processor share of the gateway, in thousandths of a core.
		MilliCores int `json:"Power"`
	}

	// TargetLoad is the work that the sender has in flight at one target. The
	// fields are those of chain.Load.
	TargetLoad struct {
		// TokenLayers is the memory in use, in tokens times layers.
		TokenLayers float64
		// Running counts the requests whose chain contains the target, and First
		// those whose chain starts at it. Unread is the number of prompt tokens
		// that are still to be processed: those of requests that have not
		// produced their first event.
		Running, First, Unread int
	}

	// RetryCount holds the requests and the retries counted within the window of
	// the retry limit.
	RetryCount struct{ Requests, Repeats int }

	// Suspicion is a target that the sender avoids after failures.
	Suspicion struct {
		ID string
		// Started is the start time of the target's process.
		Started int64 `cbor:"Born"`
		// Left is how long the target is still avoided.
		Left time.Duration
	}

	// SyncRequest asks another gateway for the current configuration and target
	// list: a follower asks its leader, and a gateway that cannot read the store
	// asks any other.
	SyncRequest struct {
		// Echo is returned in the response. Ages in the response count from the
		// time of the request.
		Echo uint64
		// ConfigVersion is the sender's version of the configuration.
		ConfigVersion uint64 `cbor:"Version"`
		// WantTargets asks for the target list too: for all of it if
		// TargetsVersion is 0, otherwise for the changes since that version.
		WantTargets    bool   `cbor:"Targets"`
		TargetsVersion uint64 `cbor:"ListVersion"`
		// TargetsEra is the era of the store that TargetsVersion belongs to.
		TargetsEra uint64 `cbor:",omitempty"`
		// MembersVersion is the sender's version of the gateway list. If it
		// differs from the receiver's, the response holds the list.
		MembersVersion uint64 `cbor:"Members"`
	}

	// SyncResponse answers SyncRequest.
	SyncResponse struct {
		Echo uint64
		// ConfigVersion is the responder's version of the configuration, which
		// was confirmed as current ConfigAge before the response. Config holds
		// the configuration if the requester's version is older.
		ConfigVersion uint64        `cbor:"Version"`
		ConfigAge     time.Duration `cbor:"Age"`
		Config        []byte        `cbor:"Raw"`
		// TargetsAge is how long before the response the target list was read;
		// negative if it was not requested.
		TargetsAge     time.Duration
		TargetsVersion uint64
		TargetsEra     uint64 `cbor:",omitempty"`
		Targets        []topo.Target
		// Incremental is set if Targets holds only the changed targets and
		// Removed the IDs of those that are no longer listed.
		Incremental bool     `cbor:"Changes"`
		Removed     []string `cbor:"Gone"`
		Members     []Member
	}
)

// PlannerTerm returns the version of the planner's lease.
func (m GatewayState) PlannerTerm() topo.Version { return topo.Version{Era: m.TermEra, Number: m.Term} }

// PlannerTerm returns the version of the planner's lease.
func (m GroupState) PlannerTerm() topo.Version { return topo.Version{Era: m.TermEra, Number: m.Term} }

func (GatewayState) message()   {}
func (SyncRequest) message()    {}
func (SyncResponse) message()   {}
func (GroupState) message()     {}
func (SuspicionAlert) message() {}
