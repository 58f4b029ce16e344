// Package agent is the process beside a target: the only one that talks to it,
// and the authority on what runs there.
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
	// Dialer keeps links to other agents.
	Dialer interface {
		// Want asks for a link to an address, now and after each loss.
		// It does not wait for the link.
		Want(address string)
		// Unwant undoes one call of Want; the last one closes the link.
		Unwant(address string)
		// Peer returns the link to an address if it is up.
		Peer(address string) (link.Peer, bool)
	}

	// Config sets up an agent. Exactly one of Engine and Service is set.
	Config struct {
		// Target names the target's resource.
		Target string
		// Incarnation is new at each start of the process.
		Incarnation string
		Timer       timer.Service
		Config      *board.Section[store.Snapshot]
		Table       plat.Table
		// Weights limits loads; nil for no limit.
		Weights plat.Weights
		Engine  *engine.Client
		Service *engine.Service
		Dialer  Dialer
		Logger  log.Logger
		Times   Times
		Limits  Limits
	}

	// Times are the agent's intervals and timeouts; zero values take the
	// defaults.
	Times struct {
		// Report is the interval of load reports.
		Report time.Duration
		// Observe is the interval at which the engine's state is read.
		Observe time.Duration
		// Orphan is how long a session outlives its entry's link.
		Orphan time.Duration
		// Unused is how long a session lives without a message, which is the
		// backstop for a Cancel or Finished that was lost with its link.
		Unused time.Duration
		// Neighbour is how long the next stage may be unreachable. A link is
		// silent for 1 s before it is redialled, and a redial takes less.
		Neighbour time.Duration
		// Step bounds an engine step.
		Step time.Duration
		// Engine bounds other engine requests except orders.
		Engine time.Duration
		// Drain bounds the wait for work in flight when the agent ends.
		Drain time.Duration
		// Call bounds a service call that has no other bound.
		Call time.Duration
	}

	// Limits bound the agent's work and memory; zero values take the
	// defaults.
	Limits struct {
		Steps steps.Limits
		Calls once.Limits
		Rules order.Rules
		// Sessions bounds what the adaptive limit may admit.
		Sessions Bounds
		// BetweenTokens is the goal for the time between two tokens, of which
		// each stage may use the share of its layers.
		BetweenTokens time.Duration
	}

	// Bounds limit the number of open sessions and running calls.
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
	l.Rules = cmp.Or(l.Rules, order.Rules{Lease: 10 * time.Second, LongestOrder: 2 * time.Minute, Gap: time.Second})
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

// firstLimit returns the limit before anything was measured; that of a plain
// service is fixed.
func (c Config) firstLimit() int {
	if c.Engine == nil {
		return c.Limits.Sessions.Max
	}
	return c.Limits.Sessions.Initial
}
