// Package wire defines the messages between shallotcourse processes and their
// CBOR encoding.
package wire

import (
	"encoding/json"
	"time"

	"shallotcourse/pkg/resrc"
)

// Version is the protocol version in Hello; peers of another version are
// refused.
const Version = 1

const (
	// RoleEntry is the role of an entry process.
	RoleEntry Role = "Entry"
	// RoleAgent is the role of an agent process.
	RoleAgent Role = "Agent"
	// RoleGateway is the role of a gateway process.
	RoleGateway Role = "Gateway"
)

const (
	// OutcomeDone carries the result of a call.
	OutcomeDone OutcomeState = "Done"
	// OutcomeRunning means that the call was dispatched and has no result yet.
	OutcomeRunning OutcomeState = "Running"
	// OutcomeNeverSeen means that the agent has not received the call and has
	// fenced its nonce: a Call with that nonce that arrives later is dropped.
	OutcomeNeverSeen OutcomeState = "NeverSeen"
	// OutcomeNotRun means that the agent received the call but did not send it to
	// the service.
	OutcomeNotRun OutcomeState = "NotRun"
	// OutcomeUnknown means that the call was sent to the service and that its
	// effect is not known.
	OutcomeUnknown OutcomeState = "Unknown"
)

type (
	// Role is the kind of a process.
	Role string

	// OutcomeState is the state of a call as known to the agent.
	OutcomeState string

	// Message is any message between processes.
	Message interface{ message() }

	// Hello is the first message in each direction of a link.
	Hello struct {
		Version int
		Role    Role
		// Instance is the configured name of the process.
		Instance string
		// Incarnation identifies one run of the process; it is new at each start.
		Incarnation string
		DataCentre  string
		// Address is where the sender accepts links; empty if it accepts none.
		Address string
		// Target is the target of an agent; empty for an entry.
		Target string
		// Revision is the configuration revision in force at the sender.
		Revision uint64
	}

	// Heartbeat keeps a link alive and carries the revision in force.
	Heartbeat struct {
		Revision uint64
	}

	// Pull asks for the changes after a revision.
	Pull struct {
		Since uint64
	}

	// Changes answers Pull, or pushes new changes. The changes are in order
	// and without gaps.
	Changes struct {
		Changes []resrc.Change
	}

	// Snapshot answers Pull when the log of changes no longer reaches back to
	// the requested revision.
	Snapshot struct {
		Revision  uint64
		Resources []StoredResource
	}

	// StoredResource is a resource in the form used in messages and in the table.
	StoredResource struct {
		Kind     resrc.Kind
		Name     string
		Revision uint64
		// Body is the spec in JSON.
		Body json.RawMessage
	}

	// Leaving announces that the sender takes no new work.
	Leaving struct {
		Target string
	}

	// Load reports an agent's exact load to the connected entries.
	Load struct {
		Target string
		// Open counts open sessions and running calls.
		Open int
		// Waiting counts the steps that the engine has not answered yet.
		Waiting int
		// QueueDelay is the smoothed time that a step takes beyond its service time.
		QueueDelay time.Duration
		// StepTime is the smoothed duration of a decode step.
		StepTime time.Duration
		// Limit is the number of sessions that the agent currently admits.
		Limit int
		// Ready is false while the engine has not loaded what the target declares,
		// or while the target is leaving.
		Ready   bool
		Leaving bool
		// Version and Layers are what the engine has loaded.
		Version string
		Layers  resrc.LayerRange
	}

	// Stage is one target of a chain.
	Stage struct {
		Target  string
		Address string
		Layers  resrc.LayerRange
	}

	// Open asks an agent to open or resume a stage of a request.
	Open struct {
		Request string
		// Attempt increases by one with each chain that the entry tries.
		Attempt int
		// Index is the receiver's position in Chain.
		Index   int
		Chain   []Stage
		Account string
		Version string
		Adapter string
		// Prompt holds the token values of the prompt.
		Prompt    []uint32
		MaxTokens int
		Seed      uint64
		Priority  int
		// Deadline is the time left for the whole request.
		Deadline time.Duration
		// Fresh asks for a new engine session even if one exists.
		Fresh bool
		// Resume is set if stages have run for the request in an earlier attempt.
		Resume bool
	}

	// Opened accepts Open. Nothing has run for a new session.
	Opened struct {
		Request string
		Attempt int
		Index   int
		// Next is the first position whose input the stage lacks.
		Next int
		// LogFrom is the first position whose output the stage can resend.
		LogFrom int
	}

	// Refused rejects Open; nothing has run for it.
	Refused struct {
		Request string
		Attempt int
		Index   int
		Reason  RefuseReason
	}

	// RefuseReason is why a stage was not opened.
	RefuseReason string

	// Start starts the stages once all of them have accepted Open.
	Start struct {
		Request string
		Attempt int
		// Cursors holds, for each stage, the first position to be run there.
		// In a fresh chain all are equal to the lowest Next.
		Cursors []int
		// Reset requires the receiver to truncate its session to its cursor, which
		// is at most the Next that it reported.
		Reset bool
		// Tokens holds the token values from the first stage's cursor on; empty
		// for the other stages.
		Tokens []uint32
		// Emitted is the position of the next token that the entry has not received.
		Emitted int
	}

	// Step carries the output of one stage to the next.
	Step struct {
		Request string
		Attempt int
		// Index is the receiver's position in the chain.
		Index int
		// Position is the first position; Data holds one block for each of
		// Count positions.
		Position int
		Count    int
		Data     []byte
	}

	// Token carries a sampled token from the last stage to the entry, and to
	// the first stage as its next input.
	Token struct {
		Request string
		Attempt int
		// Position is the position at which Value is the input.
		Position int
		Value    uint32
		// End is set if the model ended the answer with this token.
		End bool
	}

	// Cancel frees a stage in any state.
	Cancel struct {
		Request string
		Attempt int
	}

	// Finished frees a stage after the complete answer has arrived.
	Finished struct {
		Request string
	}

	// StageFailed reports that a stage cannot continue.
	StageFailed struct {
		Request string
		Attempt int
		// Index is the failed stage, which may be the sender's neighbour.
		Index  int
		Detail string
	}

	// Stale rejects a message of an older attempt or an unknown request.
	Stale struct {
		Request string
		// Attempt is the sender's attempt; 0 if it does not know the request.
		Attempt int
		// Rejected is the attempt of the rejected message.
		Rejected int
	}

	// Resync asks the last stage to resend tokens from Next on, after the link to
	// it was re-established.
	Resync struct {
		Request string
		Attempt int
		Next    int
	}

	// Call dispatches one call to a plain service, which runs no model.
	Call struct {
		ID    string
		Nonce string
		// Incarnation is the agent incarnation that the call is meant for.
		Incarnation string
		Method      string
		Path        string
		Header      map[string][]string
		Body        []byte
		Repeatable  bool
		// Deadline is the time left for the call.
		Deadline time.Duration
	}

	// Query asks for the outcome of a call. If the agent has not received the
	// call, it fences the nonce.
	Query struct {
		ID    string
		Nonce string
	}

	// Outcome answers Call and Query.
	Outcome struct {
		ID     string
		Nonce  string
		State  OutcomeState
		Status int
		Header map[string][]string
		Body   []byte
		Detail string
	}

	// QuotaRequest asks the entry that owns a client account for a share of its
	// quota.
	QuotaRequest struct {
		Account string
		// Wanted is the number of requests expected in the next period.
		Wanted float64
	}

	// QuotaGrant lends quota for limit.QuotaPeriod.
	QuotaGrant struct {
		Account string
		// Granted is the lent rate in requests per second. The same share of the
		// account's other limits is lent with it.
		Granted float64
	}
)

const (
	// RefusedLeaving means that the target takes no new work.
	RefusedLeaving RefuseReason = "Leaving"
	// RefusedFull means that the target currently admits no more sessions.
	RefusedFull RefuseReason = "Full"
	// RefusedNotLoaded means that the engine has not loaded the layers.
	RefusedNotLoaded RefuseReason = "NotLoaded"
	// RefusedEngine means that the engine failed to open a session.
	RefusedEngine RefuseReason = "Engine"
	// RefusedStale means that the agent knows a higher attempt.
	RefusedStale RefuseReason = "Stale"
	// RefusedLink means that the entry could not reach the agent.
	RefusedLink RefuseReason = "Link"
)

func (Hello) message()        {}
func (Heartbeat) message()    {}
func (Pull) message()         {}
func (Changes) message()      {}
func (Snapshot) message()     {}
func (Leaving) message()      {}
func (Load) message()         {}
func (Open) message()         {}
func (Opened) message()       {}
func (Refused) message()      {}
func (Start) message()        {}
func (Step) message()         {}
func (Token) message()        {}
func (Cancel) message()       {}
func (Finished) message()     {}
func (StageFailed) message()  {}
func (Stale) message()        {}
func (Resync) message()       {}
func (Call) message()         {}
func (Query) message()        {}
func (Outcome) message()      {}
func (QuotaRequest) message() {}
func (QuotaGrant) message()   {}
