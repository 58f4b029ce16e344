package plan

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/place"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// countingEngines count the polls and orders, and end each call with a failure.
type countingEngines struct {
	proxy.Engines
	polls, orders chan string
	// onReport is called during a poll.
	onReport func()
}

func (e *countingEngines) Report(_ context.Context, t topo.Target) (proxy.Report, error) {
	e.polls <- t.ID
	e.onReport()
	return proxy.Report{}, nil
}

func (e *countingEngines) Place(_ context.Context, t topo.Target, _ topo.Layers) error {
	e.orders <- t.ID
	return nil
}

// Guards against a target that has said that it leaves and is polled, ordered to
// load layers or counted among those that hold them, while the list still says that
// it is ready.
func TestPlannerLeavesLeavingTargetsAlone(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	logger := log.NewNopLogger()
	bootClock := func() time.Duration { return time.Minute }
	engines := &countingEngines{polls: make(chan string, 9), orders: make(chan string, 9), onReport: func() {}}
	limits := limit.NewTargetLimiter(timer.System{}, limit.Gateway{}, nil)
	fleets := follow.NewFleets(nil, timer.System{}, bootClock, logger)
	p := New(Options{
		Source: &tableClient{table: &memoryTable{}}, Clock: timer.System{}, BootClock: bootClock, Log: logger, Metrics: metrics.NewSet(),
		Engines: engines, Fleets: fleets, Limits: limits, Ledger: ledger.New(timer.System{}),
	})
	a, b := topo.Target{ID: "a", Started: 1, Service: "s"}, topo.Target{ID: "b", Started: 1, Service: "s"}
	fleets.ApplySync(topo.Version{Number: 1}, []topo.Target{a, b}, time.Second, "g")
	is.True(p.lease.hold(ctx, topo.Version{}, time.Hour))
	p.leaseChecked.Store(int64(p.lease.checked))
	sent := uint64(0)
	order := func(t topo.Target) (polls, orders int) {
		p.sendOrder(ctx, place.Order{Target: t, Layers: topo.Layers{To: 8}}, time.Second)
		sent++
		for p.Metrics.GetOrCreateCounter("shallotcourse_orders_total").Get() < sent {
			time.Sleep(time.Millisecond)
		}
		polls, orders = len(engines.polls), len(engines.orders)
		for range polls {
			<-engines.polls
		}
		for range orders {
			<-engines.orders
		}
		return polls, orders
	}

	limits.Leaves(a)
	polls, orders := order(a)
	is.Equal(polls, 0)  // polls of a target that leaves
	is.Equal(orders, 0) // orders to it
	placed, _ := p.serviceTargets(ctx, topo.Service{Name: "s", Model: &topo.Model{Layers: 8}})
	is.Equal(len(placed), 1)
	is.Equal(placed[0].ID, "b")

	engines.onReport = func() { limits.Leaves(b) }
	polls, orders = order(b)
	is.Equal(polls, 1)
	is.Equal(orders, 0) // it has said so in the answer to the poll
}
