package cmds

import (
	"context"
	"sync"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/fleet"
	"shallotcourse/internal/link"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
)

type (
	// replica is the copy of the configuration and of the instance list that
	// entries and agents keep. It is a link.Handler.
	replica struct {
		platform *plat.Client
		store    *store.Store
		sync     *store.Sync
		fleet    *fleet.Fleet
	}

	// deferredHandlers is a link.Handler whose handlers are set after the link
	// group has been made, because they need the group. They must be set before
	// links are served or dialled.
	deferredHandlers struct{ link.Handlers }
)

var _ link.Handler = (*replica)(nil)

func newReplica(d *daemon, platform string) *replica {
	client := plat.NewClient(platform, plat.WithClock(d.clock))
	s := store.New(client.Table, store.WithClock(d.clock), store.WithLog(d.logger))
	r := &replica{
		platform: client, store: s, sync: store.NewSync(s),
		fleet: fleet.New(fleet.Config{Instances: client.Instances, Timer: d.clock, Logger: d.logger}),
	}
	d.metrics.NewGauge("shallotcourse_revision", func() float64 { return float64(s.Snapshot().Revision) })
	d.metrics.NewGauge("shallotcourse_table_reachable", func() float64 {
		if s.Health().Value().Reachable {
			return 1
		}
		return 0
	})
	d.metrics.NewGauge("shallotcourse_list_age_seconds", func() float64 {
		if age := r.fleet.View().Value().ListAge; age >= 0 {
			return age.Seconds()
		}
		return -1
	})
	return r
}

func (r *replica) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.store.Run(ctx) })
	wg.Go(func() { _ = r.sync.Run(ctx) })
	wg.Go(func() { r.fleet.Run(ctx) })
	wg.Wait()
}

func (r *replica) ready() error {
	if !r.sync.Ready() {
		return fault.New(fault.Unavailable, "the configuration has not been read yet")
	}
	return nil
}

// LinkUp implements link.Handler.
func (r *replica) LinkUp(p link.Peer) {
	r.fleet.LinkUp(p)
	r.sync.LinkUp(p)
}

// Receive implements link.Handler.
func (r *replica) Receive(p link.Peer, m wire.Message) {
	r.fleet.Receive(p, m)
	r.sync.Receive(p, m)
}

// LinkDown implements link.Handler.
func (r *replica) LinkDown(p link.Peer, reason error) {
	r.fleet.LinkDown(p, reason)
	r.sync.LinkDown(p)
}

func (h *deferredHandlers) set(handlers ...link.Handler) { h.Handlers = handlers }
