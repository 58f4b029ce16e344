package cmds

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/spf13/cobra"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/entry"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/fleet"
	"shallotcourse/internal/link"
	"shallotcourse/internal/opapi"
	"shallotcourse/internal/route"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/token"
	"shallotcourse/internal/wire"
)

// maxEntryLinks is the maximum number of links to other entries of the instance
// list. With 8 links each, a change reaches 410 entries in 3 hops.
const maxEntryLinks = 8

type (
	// entryDaemon is a running entry process.
	entryDaemon struct {
		*daemon
		*replica
		settings conf.Entry
		links    *link.Group
		entry    *entry.Entry
		// entryCount is the number of entries in the instance list, this one
		// included. It is read for each request.
		entryCount atomic.Int64
		// stopping is closed when the entry starts to drain. Operators' watches
		// end then and resume at another entry.
		stopping chan struct{}
	}

	// tokenizer implements entry.Tokenizer with the built-in vocabulary.
	tokenizer struct{}
)

func entryCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "entry --config FILE",
		Short: "Run an entry with the settings in a TOML file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := readSettings(file)
			if err != nil {
				return err
			}
			settings, err := conf.ParseEntry(text)
			if err != nil {
				return err
			}
			return runEntry(c.Context(), settings, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings file")
	_ = c.MarkFlagRequired("config")
	return c
}

// runEntry runs an entry until a signal arrives and its open requests have
// ended.
func runEntry(ctx context.Context, settings conf.Entry, logs io.Writer) error {
	signaled, cancel := signals(ctx, syscall.SIGHUP)
	defer cancel()
	limitHeap(settings.MemoryMegabytes)
	e := newEntryDaemon(settings, logs)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer e.links.Stop()
	defer wg.Wait()
	defer stop()
	// Requests that the listeners have still accepted are answered before the
	// background tasks end.
	defer e.shutdown(closeTimeout)
	for _, run := range []func(context.Context){e.replica.run, e.entry.Run, e.watchInstanceList} {
		wg.Go(func() { run(work) })
	}
	for _, address := range settings.Peers {
		e.links.Want(address)
	}
	if err := e.listen(); err != nil {
		return err
	}
	if err := e.wait(signaled); err != nil {
		return err
	}
	e.drain()
	return nil
}

func newEntryDaemon(settings conf.Entry, logs io.Writer) *entryDaemon {
	d := newDaemon(settings.Instance, settings.Log, logs)
	d.boundCallers(settings.Callers, settings.MemoryMegabytes)
	e := &entryDaemon{daemon: d, replica: newReplica(d, settings.Platform), settings: settings, stopping: make(chan struct{})}
	handlers := &deferredHandlers{}
	e.links = d.newLinkGroup(linkSettings{times: settings.Links, hello: e.hello, handler: handlers})
	e.entry = entry.New(entry.Config{
		Instance: settings.Instance, Incarnation: d.incarnation, DataCentre: settings.DataCentre, Region: settings.Region,
		Timer: d.clock, Log: d.logger, Snapshot: e.store.Section(), Links: e.links, Table: e.platform.Table,
		Tokenizer: tokenizer{}, Metrics: d.metrics, Bounds: entryBounds(settings),
		Entries: func() int { return int(e.entryCount.Load()) },
	})
	handlers.set(e.replica, link.NewestLink(e.entry))
	return e
}

func (e *entryDaemon) hello() wire.Hello {
	return wire.Hello{
		Version: wire.Version, Role: wire.RoleEntry, Instance: e.settings.Instance, Incarnation: e.incarnation,
		DataCentre: e.settings.DataCentre, Address: e.settings.Advertise, Revision: e.store.Snapshot().Revision,
	}
}

func (e *entryDaemon) listen() error {
	callers := mux.NewRouter()
	callers.HandleFunc("/readyz", readyHandler(e.ready)).Methods(http.MethodGet)
	callers.PathPrefix("/").Handler(e.closeWhenStopping(e.entry.Handler()))
	operators := mux.NewRouter()
	e.registerOperations(operators, e.ready)
	operators.PathPrefix("/v1/").Handler(opapi.New(opapi.Options{
		Store: e.store, Sync: e.sync, Operators: operatorsOf(e.settings.OperatorKeyHashes), Self: e.hello(),
		Clock: e.clock, Log: e.logger, Stopping: e.stopping,
	}))
	descriptors := descriptorLimit()
	limits := callerLimits(e.settings.Callers.Connections, descriptors)
	limits.Receive = e.settings.Limits.Request.Duration
	for _, l := range []listenerSettings{
		{name: "links", address: e.settings.LinkListen, limits: linkLimits(descriptors), handler: linkRouter(e.links)},
		{name: "operators", address: e.settings.OperatorListen, limits: operatorLimits(descriptors), handler: operators},
		{name: "callers", address: e.settings.Listen, limits: limits, handler: callers, budget: e.budget},
	} {
		l.headerBytes = e.settings.Limits.HeaderBytes
		if err := e.serve(l); err != nil {
			return err
		}
	}
	return nil
}

// closeWhenStopping asks callers to close their connections while the entry
// drains, so that few are still open when the process ends. It does not close
// idle connections, because a request may be in transit on them.
func (e *entryDaemon) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.entry.Ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *entryDaemon) ready() error {
	if !e.entry.Ready() {
		return fault.New(fault.Leaving, "the entry is stopping")
	}
	return e.replica.ready()
}

// drain waits until the load balancer has noticed the stop and the open
// requests have ended, but at most for BalancerLag plus StopTimeout.
func (e *entryDaemon) drain() {
	_ = level.Info(e.logger).Log("msg", "stopping", "open", e.entry.OpenRequests())
	close(e.stopping)
	e.links.Broadcast(wire.Leaving{}, nil)
	bound := e.settings.BalancerLag.Duration + e.settings.StopTimeout.Duration
	ctx, cancel := timer.WithTimeout(context.Background(), e.clock, bound)
	defer cancel()
	e.entry.Drain(ctx)
	if n := e.entry.OpenRequests(); n > 0 {
		_ = level.Warn(e.logger).Log("msg", "stopping with open requests", "open", n)
	}
}

// countEntries counts the entries of a view, this one included.
func (e *entryDaemon) countEntries(view fleet.View) int {
	n := 1
	for _, i := range view.Filter(wire.RoleEntry, fleet.Live, fleet.Suspect) {
		if i.Name != e.settings.Instance {
			n++
		}
	}
	return n
}

// watchInstanceList keeps links to other entries of the instance list, and
// excludes targets whose agent the list marks as Leaving. The next load report
// of the agent overrides that.
func (e *entryDaemon) watchInstanceList(ctx context.Context) {
	wanted := map[string]bool{}
	for ctx.Err() == nil {
		view, version := e.fleet.View().Get()
		e.entryCount.Store(int64(e.countEntries(view)))
		wanted = e.updatePeerLinks(view, wanted)
		for _, i := range view.Filter(wire.RoleAgent, fleet.Leaving) {
			e.entry.View().Update(func(v route.View) (route.View, bool) { return v.WithLeaving(i.Target), true })
		}
		select {
		case <-ctx.Done():
		case <-e.fleet.View().Changed(version):
		}
	}
}

// updatePeerLinks opens and closes links to other entries as a view requires,
// and returns the addresses of the listed entries that it keeps links to.
// Configuration changes spread from entry to entry over these links.
func (e *entryDaemon) updatePeerLinks(view fleet.View, wanted map[string]bool) map[string]bool {
	var addresses []string
	for _, i := range view.Filter(wire.RoleEntry, fleet.Live, fleet.Leaving, fleet.Suspect) {
		if i.Name != e.settings.Instance && i.Address != "" && !slices.Contains(e.settings.Peers, i.Address) {
			addresses = append(addresses, i.Address)
		}
	}
	listed := map[string]bool{}
	for _, address := range route.Subset(e.settings.Instance, addresses, maxEntryLinks) {
		listed[address] = true
	}
	for address := range listed {
		if !wanted[address] {
			e.links.Want(address)
		}
	}
	for address := range wanted {
		if !listed[address] {
			e.links.Unwant(address)
		}
	}
	return listed
}

func operatorsOf(hashes map[string]string) []opapi.Operator {
	var out []opapi.Operator
	for _, name := range slices.Sorted(maps.Keys(hashes)) {
		out = append(out, opapi.Operator{Name: name, KeyHash: hashes[name]})
	}
	return out
}

func entryBounds(s conf.Entry) entry.Bounds {
	l := s.Limits
	return entry.Bounds{
		BodyBytes: l.BodyBytes, HeaderBytes: int(l.HeaderBytes), Queue: l.QueueLength, Concurrency: l.Concurrency,
		FirstToken: l.FirstToken.Duration, Request: l.Request.Duration, Call: l.Call.Duration,
		Relink: l.Relink.Duration, BalancerLag: s.BalancerLag.Duration, WriteTimeout: l.Write.Duration,
		TargetsPerGroup: l.TargetsPerGroup, CallRetries: l.CallRetries,
	}
}

// Encode implements entry.Tokenizer.
func (tokenizer) Encode(text string) []uint32 { return token.Encode(text) }

// Decode implements entry.Tokenizer.
func (tokenizer) Decode(tokens []uint32) string { return token.Decode(tokens) }
