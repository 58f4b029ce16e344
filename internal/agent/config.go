// Package agent implements the process that runs beside each target. It alone
// sends requests to the target, and it decides which sessions, calls and orders
// run there.
package agent

import (
	"cmp"
	"time"

	"github.com/go-kit/log"

	"shallotcourse/internal/board"
	"shallotcourse/internal/engine"
	"shallotcourse/internal/link"
	"shallotcourse/internal/once"
	"shallotcourse/internal/order"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
)

type (
	// Dialer maintains links to other agents.
	Dialer interface {
		// Want requests a link to an address, which is established now and
		// again after each loss. It does not block.
		Want(address string)
		// Unwant cancels one call of Want. The last one closes the link.
		Unwant(address string)
		// Peer returns the link to an address if it is established.
		Peer(address string) (link.Peer, bool)
	}

	// Config is the configuration of an agent. Exactly one of Engine and
	// Service must be set.
	Config struct {
		// Target is the name of the target's resource.
		Target string
		// Incarnation identifies one run of the process; it is new at each
		// start.
		Incarnation string
		Timer       timer.Service
		Config      *board.Section[store.Snapshot]
		Table       plat.Table
		// Weights limits the rate at which weights are loaded; nil means no
		// limit.
		Weights plat.Weights
		Engine  *engine.Client
		Service *engine.Service
		Dialer  Dialer
		Logger  log.Logger
		Times   Times
		Limits  Limits
	}

	// Times holds the intervals and timeouts of an agent. Zero values are
	// replaced by defaults.
	Times struct {
		// Report is the interval at which the load is measured and may be
		// reported.
		Report time.Duration
		// Observe is the interval at which the engine's state is read.
		Observe time.Duration
		// Orphan is how long a session is kept after the link of its entry is
		// lost.
		Orphan time.Duration
		// Unused is how long a session is kept without receiving a message.
		// It cleans up after a Cancel or Finished message that was lost with
		// its link.
		Unused time.Duration
		// Neighbour is how long the next stage may be unreachable before it
		// is reported as failed. A link is redialled after 1 s of silence,
		// and redialling takes less than that.
		Neighbour time.Duration
		// Step is the minimum timeout of an engine step.
		Step time.Duration
		// Engine is the timeout of engine requests other than steps and
		// orders.
		Engine time.Duration
		// Drain is how long Run waits for work in flight after its context
		// has ended.
		Drain time.Duration
		// Call is the timeout of a service call, unless the service declares
		// its own.
		Call time.Duration
	}

	// Limits bounds the work and memory of an agent. Zero values are replaced
	// by defaults.
	Limits struct {
		Steps steps.Limits
		Calls once.Limits
		Rules order.LeaseRules
		// Sessions bounds the adaptive limit of open sessions and running
		// calls.
		Sessions Bounds
		// BetweenTokens is the target time between two tokens of an answer.
		// Each stage gets a share of it in proportion to its layers.
		BetweenTokens time.Duration
	}

	// Bounds holds the initial, minimum and maximum value of a limit.
	Bounds struct{ Initial, Min, Max int }
)

func (c Config) withDefaults() Config {
	t := &c.Times
	t.Report = cmp.Or(t.Report, 200*time.Millisecond)
	t.Observe = cmp.Or(t.Observe, 500*time.Millisecond)
	t.Orphan = cmp.Or(t.Orphan, 5*time.Second)
	t.Unused = cmp.Or(t.Unused, time.Minute)
	t.Neighbour = cmp.Or(t.Neighbour, time.Second)
	t.Step = cmp.Or(t.Step, 2*time.Second)
	t.Engine = cmp.Or(t.Engine, time.Second)
	t.Drain = cmp.Or(t.Drain, 5*time.Minute)
	t.Call = cmp.Or(t.Call, 30*time.Second)
	l := &c.Limits
	l.Steps = cmp.Or(l.Steps, steps.DefaultLimits)
	l.Calls = cmp.Or(l.Calls, once.DefaultLimits)
	l.Rules = cmp.Or(l.Rules, order.LeaseRules{Lease: 10 * time.Second, LongestOrder: 2 * time.Minute, Gap: time.Second})
	l.Sessions = cmp.Or(l.Sessions, Bounds{Initial: 64, Min: 4, Max: 1024})
	l.BetweenTokens = cmp.Or(l.BetweenTokens, 45*time.Millisecond)
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Timer == nil {
		c.Timer = timer.System{}
	}
	return c
}

// initialLimit returns the limit that applies before the engine's capacity
// has been measured. The limit of a plain service is fixed.
func (c Config) initialLimit() int {
	if c.Engine == nil {
		return c.Limits.Sessions.Max
	}
	return c.Limits.Sessions.Initial
}
