package cmds

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/chain"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/plan"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/topo"
)

type (
	// gatewayStatus is the status that a gateway shows to operators.
	gatewayStatus struct {
		Instance string
		// Version is the version of the configuration in force. ConfigAge is
		// the time since it was last confirmed as the newest, FleetAge the
		// age of the target list.
		Version   uint64
		ConfigAge string
		FleetAge  string
		// KeysRequired is true if routes that are not public need an API key.
		KeysRequired bool
		// StoreEra is the newest era of the store that the gateway has seen; it
		// rises when the store comes back from an older copy.
		StoreEra uint64
		Gateways int64
		Open     int
		// Callers holds what callers hold and what was refused or evicted.
		Callers callerStatus
		Routes  []topo.Route
		Targets []targetStatus
		// Bounds holds what the targets' memory holds at once, by service and
		// group of data centres.
		Bounds []plan.ServiceBound
		// Crossings holds what it costs to send new requests to other data centres, by
		// service; empty where the configuration names no delays.
		Crossings []proxy.ServiceCrossings
		// Promises holds the times within which changes take effect.
		Promises []promiseStatus
		// Holds holds the parts of prompts that are not sent to targets for some
		// time, because targets have ended under them.
		Holds []blame.Hold
		// Limits holds the limits that targets have named.
		Limits []limit.TargetLimit
		// Leaving holds the targets that have said that they leave.
		Leaving []limit.TargetLimit
		// Paused holds the targets that want nothing from this gateway for some time.
		Paused []limit.Pause
		// Ranks holds the ranks of the services with unequal priorities.
		Ranks []sched.RankStatus
		// PlannerTerm is the newest lease term received from a planner on
		// another gateway, 0 if there is none, and PlannerEra the era of the store
		// that it belongs to; PlannerSilent is the time since it was last
		// received.
		PlannerTerm   uint64
		PlannerEra    uint64
		PlannerSilent string
	}

	targetStatus struct {
		topo.Target
		Load chain.Load
		// Doubted is true while the target is suspected after a failure.
		Doubted bool
		// Leaving is true once the target has said that it leaves.
		Leaving bool
		// Paused is true while it wants nothing from this gateway.
		Paused bool
		// Placed is the reason and the time of the target's placement; nil
		// if this gateway did not decide it.
		Placed *plan.Placement `json:",omitempty"`
	}
)

// status shows operators the routes, the placement and the load.
func (g *gatewayDaemon) status(w http.ResponseWriter, _ *http.Request) {
	config, fleet := g.configs.Section().Value(), g.fleets.Section().Value()
	out := gatewayStatus{
		Instance: g.settings.Instance, Version: config.Version, ConfigAge: g.configs.Age().Round(time.Millisecond).String(),
		KeysRequired: !config.Keyless(), StoreEra: g.store.Era(), FleetAge: g.fleets.Age().Round(time.Millisecond).String(), Gateways: g.gatewayCount.Load(), Open: g.server.OpenRequests(),
		Callers: g.callerStatus(),
		Routes:  config.Routes(), Bounds: g.planner.Bounds(), Holds: g.prompts.Holds(), Limits: g.limits.Limits(),
		Leaving: g.limits.Leaving(), Paused: g.limits.Paused(), Promises: promiseStatuses(g.times.Promises), Ranks: g.server.RankStatus(),
		Crossings: g.server.Crossings(),
	}
	loads, placements := g.ledger.TotalLoads(), g.planner.LastPlacements()
	for _, t := range fleet.All() {
		standing := g.limits.Standing(t)
		row := targetStatus{
			Target: t, Load: loads[t.ID], Doubted: g.ledger.Suspected(t), Leaving: standing.Leaving, Paused: standing.PausedFor > 0,
		}
		if placement, ok := placements[t.ID]; ok && placement.Layers == t.Held {
			row.Placed = &placement
		}
		out.Targets = append(out.Targets, row)
	}
	term, ago := g.peers.OtherPlanner()
	out.PlannerTerm, out.PlannerEra, out.PlannerSilent = term.Number, term.Era, ago.Round(time.Millisecond).String()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		_ = level.Info(g.logger).Log("event", "StatusNotWritten", "err", err)
	}
}
