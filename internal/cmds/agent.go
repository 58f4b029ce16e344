package cmds

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/spf13/cobra"

	"shallotcourse/internal/agent"
	"shallotcourse/internal/conf"
	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/fleet"
	"shallotcourse/internal/link"
	"shallotcourse/internal/order"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// agentHeaderBytes bounds the headers that an agent's listeners accept.
	agentHeaderBytes = 16 << 10
	// initialEngineSessions is the session limit of an engine before its first
	// step. A fast engine triples it within 50 ms. With 64, one slow engine
	// took so many sessions in the first second that each token took 400 ms.
	initialEngineSessions = 8
	// staleLeavingPeriod is how long after the start a row that has always
	// been Leaving is assumed to belong to an earlier incarnation, because the
	// instance list lags.
	staleLeavingPeriod = 30 * time.Second
)

type (
	// agentDaemon is a running agent process.
	agentDaemon struct {
		*daemon
		*replica
		settings conf.Agent
		links    *link.Group
		agent    *agent.Agent
		// leaving is set when the agent starts to drain.
		leaving atomic.Bool
	}

	// leaveDetector decides from the instance list whether this incarnation is
	// to drain. It distinguishes its own row from that of an earlier incarnation
	// with the same name.
	leaveDetector struct {
		instance  string
		startedAt time.Time
		// seenLive is set once a list has been read in which this instance is
		// absent or not Leaving.
		seenLive bool
	}
)

func agentCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "agent --config FILE",
		Short: "Run an agent with the settings in a TOML file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := readSettings(file)
			if err != nil {
				return err
			}
			settings, err := conf.ParseAgent(text)
			if err != nil {
				return err
			}
			return runAgent(c.Context(), settings, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings file")
	_ = c.MarkFlagRequired("config")
	return c
}

// runAgent runs an agent until a signal arrives or the platform's instance list
// marks it as Leaving. It returns when the work in flight has ended.
func runAgent(ctx context.Context, settings conf.Agent, logs io.Writer) error {
	signaled, cancel := signals(ctx, syscall.SIGHUP)
	defer cancel()
	a := newAgentDaemon(settings, logs)
	defer a.shutdown(closeTimeout)
	defer a.links.Stop()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { a.replica.run(work) })
	wg.Go(func() { a.watchInstanceList(work) })
	for _, address := range settings.Peers {
		a.links.Want(address)
	}
	if err := a.listen(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- a.agent.Run(signaled) }()
	failure := a.wait(signaled)
	a.leaving.Store(true)
	_ = level.Info(a.logger).Log("msg", "stopping")
	cancel()
	if err := <-ended; err != nil && failure == nil {
		failure = err
	}
	a.awaitLateCalls()
	return failure
}

// awaitLateCalls refuses calls for one silence timeout after the last work has
// ended. A call that an entry sent before it learned of the drain would
// otherwise be lost with the link, and its outcome would be Unknown although it
// did not run. A link on which such a call takes longer than the silence
// timeout is closed anyway.
func (a *agentDaemon) awaitLateCalls() {
	_ = timer.Sleep(context.Background(), a.clock, a.settings.Links.Silence.Duration)
}

func newAgentDaemon(settings conf.Agent, logs io.Writer) *agentDaemon {
	d := newDaemon(settings.Instance, settings.Log, logs)
	a := &agentDaemon{daemon: d, replica: newReplica(d, settings.Platform), settings: settings}
	handlers := &deferredHandlers{}
	a.links = d.newLinkGroup(linkSettings{times: settings.Links, hello: a.hello, handler: handlers})
	c := agentConfig(settings)
	c.Incarnation, c.Timer, c.Logger, c.Dialer = d.incarnation, d.clock, d.logger, a.links
	c.Config, c.Table, c.Weights = a.store.Section(), a.platform.Table, a.platform.Weights
	a.agent = agent.New(c)
	a.agent.RegisterMetrics(d.metrics)
	handlers.set(a.replica, link.NewestLink(agentLinkFilter{a.agent}))
	return a
}

func (a *agentDaemon) hello() wire.Hello {
	return wire.Hello{
		Version: wire.Version, Role: wire.RoleAgent, Instance: a.settings.Instance, Incarnation: a.incarnation,
		DataCentre: a.settings.DataCentre, Address: a.settings.Advertise, Target: a.settings.Target,
		Revision: a.store.Snapshot().Revision,
	}
}

func (a *agentDaemon) listen() error {
	operators := mux.NewRouter()
	a.registerOperations(operators, a.ready)
	descriptors := descriptorLimit()
	operations := listenerSettings{
		name: "operations", address: a.settings.OpsListen, headerBytes: agentHeaderBytes, limits: operatorLimits(descriptors), handler: operators,
	}
	if err := a.serve(operations); err != nil {
		return err
	}
	return a.serve(listenerSettings{
		name: "links", address: a.settings.LinkListen, headerBytes: agentHeaderBytes, limits: linkLimits(descriptors), handler: linkRouter(a.links),
	})
}

func (a *agentDaemon) ready() error {
	if a.leaving.Load() {
		return fault.New(fault.Leaving, "the agent is draining")
	}
	return a.replica.ready()
}

// watchInstanceList drains the agent once the platform's instance list marks it
// as Leaving.
func (a *agentDaemon) watchInstanceList(ctx context.Context) {
	detector := leaveDetector{instance: a.settings.Instance, startedAt: a.clock.Now()}
	for ctx.Err() == nil {
		view, version := a.fleet.View().Get()
		if detector.shouldLeave(view, a.clock.Now()) {
			_ = level.Info(a.logger).Log("msg", "the instance list marks this instance as leaving; draining")
			a.leaving.Store(true)
			a.agent.Leave()
			return
		}
		select {
		case <-ctx.Done():
		case <-a.fleet.View().Changed(version):
		}
	}
}

// shouldLeave reports whether the list marks this instance as Leaving. The
// fleet publishes a view after each poll of the list, so an unchanged row is
// checked again.
func (d *leaveDetector) shouldLeave(view fleet.View, now time.Time) bool {
	own, ok := view.Get(d.instance)
	if !ok || own.State != fleet.Leaving {
		d.seenLive = d.seenLive || view.ListAge >= 0
		return false
	}
	return d.seenLive || now.Sub(d.startedAt) >= staleLeavingPeriod
}

// agentLinkFilter wraps an agent and does not notify it of the links that other
// agents have dialled, because the agent sends steps only on links that it
// dialled itself. Messages of all links are passed on.
type agentLinkFilter struct{ *agent.Agent }

// LinkUp implements link.Handler.
func (d agentLinkFilter) LinkUp(p link.Peer) {
	if p.Hello().Role == wire.RoleEntry || link.Dialed(p) != "" {
		d.Agent.LinkUp(p)
	}
}

// LinkDown implements link.Handler.
func (d agentLinkFilter) LinkDown(p link.Peer, reason error) {
	if p.Hello().Role == wire.RoleEntry || link.Dialed(p) != "" {
		d.Agent.LinkDown(p, reason)
	}
}

func agentConfig(s conf.Agent) agent.Config {
	c := agent.Config{
		Target: s.Target,
		Times: agent.Times{
			Orphan: s.OrphanTimeout.Duration, Step: s.StepTimeout.Duration, Drain: s.StopTimeout.Duration,
			Call: s.CallTimeout.Duration,
		},
		Limits: agent.Limits{
			Rules:    order.LeaseRules{Lease: s.Lease.Duration, LongestOrder: s.OrderTimeout.Duration, Gap: time.Second},
			Sessions: agent.Bounds{Initial: min(64, s.Sessions), Min: min(4, s.Sessions), Max: s.Sessions},
		},
	}
	if s.Engine != "" {
		c.Limits.Sessions.Initial = min(initialEngineSessions, s.Sessions)
		c.Engine = engine.NewClient(s.Engine)
	} else {
		c.Service = engine.NewService(s.Service)
	}
	return c
}
