package cmds

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
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
	// unmeasuredSessions is the limit of an engine that has not run a step yet.
	// It triples within 50 ms if the engine is fast. With 64, one slow engine
	// took so many sessions in the first second that each token took 400 ms.
	unmeasuredSessions = 8
	// staleLeaving is how long a row that was Leaving from the start is taken
	// for that of a predecessor with the same name, because the list lags.
	staleLeaving = 30 * time.Second
)

type (
	// agentDaemon is a running agent process.
	agentDaemon struct {
		*daemon
		*replica
		settings conf.Agent
		links    *link.Group
		agent    *agent.Agent
		// leaving is set when the agent starts to leave.
		leaving atomic.Bool
	}

	// listWatch tells this incarnation's row of the list from that of a
	// predecessor with the same name.
	listWatch struct {
		instance string
		begun    time.Time
		// live is set by a list in which the row is not Leaving.
		live bool
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
	c.Flags().StringVar(&file, "config", "", "file of settings")
	_ = c.MarkFlagRequired("config")
	return c
}

// runAgent runs an agent until a signal arrives or the platform's list says
// that its instance leaves, and its work in flight has ended.
func runAgent(ctx context.Context, settings conf.Agent, logs io.Writer) error {
	a := newAgentDaemon(settings, logs)
	defer a.shutdown()
	defer a.links.Stop()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { a.replica.run(work) })
	wg.Go(func() { a.followList(work) })
	for _, address := range settings.Peers {
		a.links.Want(address)
	}
	if err := a.listen(); err != nil {
		return err
	}
	signaled, cancel := signals(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- a.agent.Run(signaled) }()
	failure := a.wait(signaled)
	a.leaving.Store(true)
	_ = level.Info(a.logger).Log("msg", "stopping")
	cancel()
	if err := <-ended; err != nil && failure == nil {
		failure = err
	}
	a.linger()
	return failure
}

// linger keeps refusing work after the last has ended. A call that an entry
// sent before it knew of the leave would otherwise be lost with the link, and
// its outcome be Unknown although it was not run. A link on which such a call
// takes longer than the silence timeout is closed anyway.
func (a *agentDaemon) linger() {
	_ = timer.Sleep(context.Background(), a.clock, a.settings.Links.Silence.Duration)
}

func newAgentDaemon(settings conf.Agent, logs io.Writer) *agentDaemon {
	d := newDaemon(settings.Instance, settings.Log, logs)
	a := &agentDaemon{daemon: d, replica: newReplica(d, settings.Platform), settings: settings}
	handlers := &lateHandlers{}
	a.links = d.links(linkSettings{times: settings.Links, hello: a.hello, handler: handlers})
	c := agentConfig(settings)
	c.Incarnation, c.Timer, c.Logger, c.Dialer = d.incarnation, d.clock, d.logger, a.links
	c.Config, c.Table, c.Weights = a.store.Section(), a.platform.Table, a.platform.Weights
	a.agent = agent.New(c)
	a.agent.Export(d.metrics)
	handlers.set(a.replica, link.Latest(dialedAgents{a.agent}))
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
	a.operations(operators, a.ready)
	if err := a.serve("operations", a.settings.OpsListen, agentHeaderBytes, operators); err != nil {
		return err
	}
	return a.serve("links", a.settings.LinkListen, agentHeaderBytes, linkRouter(a.links))
}

func (a *agentDaemon) ready() error {
	if a.leaving.Load() {
		return fault.New(fault.Leaving, "the agent is leaving")
	}
	return a.replica.ready()
}

// followList makes the agent leave when the platform's list says so.
func (a *agentDaemon) followList(ctx context.Context) {
	w := listWatch{instance: a.settings.Instance, begun: a.clock.Now()}
	for ctx.Err() == nil {
		view, version := a.fleet.View().Get()
		if w.leaves(view, a.clock.Now()) {
			_ = level.Info(a.logger).Log("msg", "the instance list says that this instance leaves")
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

// leaves reports whether the list says that this instance leaves. The fleet
// publishes a view after each poll, so a row that stays is looked at again.
func (w *listWatch) leaves(view fleet.View, now time.Time) bool {
	own, ok := view.Get(w.instance)
	if !ok || own.State != fleet.Leaving {
		w.live = w.live || view.ListAge >= 0
		return false
	}
	return w.live || now.Sub(w.begun) >= staleLeaving
}

// dialedAgents shows an agent only those links to other agents that it dialled
// itself, because it sends steps on no others.
type dialedAgents struct{ *agent.Agent }

// LinkUp implements link.Handler.
func (d dialedAgents) LinkUp(p link.Peer) {
	if p.Hello().Role == wire.RoleEntry || link.Dialed(p) != "" {
		d.Agent.LinkUp(p)
	}
}

// LinkDown implements link.Handler.
func (d dialedAgents) LinkDown(p link.Peer, reason error) {
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
			Rules:    order.Rules{Lease: s.Lease.Duration, LongestOrder: s.OrderTimeout.Duration, Gap: time.Second},
			Sessions: agent.Bounds{Initial: min(64, s.Sessions), Min: min(4, s.Sessions), Max: s.Sessions},
		},
	}
	if s.Engine != "" {
		c.Limits.Sessions.Initial = min(unmeasuredSessions, s.Sessions)
		c.Engine = engine.NewClient(s.Engine)
	} else {
		c.Service = engine.NewService(s.Service)
	}
	return c
}
