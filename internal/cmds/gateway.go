package cmds

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/bounds"
	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/httpc"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/peers"
	"shallotcourse/internal/plan"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/spool"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
	"shallotcourse/platform"
)

const (
	// settingsVariable names the environment variable with the path of the
	// settings file; the flag --config overrides it.
	settingsVariable = "SHALLOTCOURSE_SETTINGS"
	// gatewayHeaderBytes bounds the headers that a gateway's listeners accept.
	gatewayHeaderBytes = 64 << 10
	// targetDialTimeout bounds the connection set-up to a target. Targets are
	// in the same region, so one that does not accept within this time is
	// treated as failed.
	targetDialTimeout = 400 * time.Millisecond
	// targetHeadBytes bounds the head of a target's response. Parsed, short header
	// lines take many times their bytes, and many heads may be read at once.
	targetHeadBytes = 32 << 10
	// storeTimeout bounds a call to the store, in addition to the wait that the
	// call requests.
	storeTimeout = 700 * time.Millisecond
	// storeResponseBytes bounds a response of the store. Pages of rows have 1 MB.
	storeResponseBytes = 8 << 20
	// gatewayGCPercent is the heap growth in percent between garbage
	// collections. The live heap is small compared with the memory limit.
	gatewayGCPercent = 300
	// leaveTimeout bounds the store calls of a stop, which release the
	// planner's lease and delete the gateway's row.
	leaveTimeout = 500 * time.Millisecond
	// crossDataCentreCost is the cost of a hop between data centres when chains
	// are compared. It is the time of several tokens, since a prompt occupies
	// the connection between data centres for about that long. Chains cross
	// data centres only to relieve overloaded targets or to replace failed
	// ones.
	crossDataCentreCost = 60 * time.Millisecond
	// defaultBodyBytes bounds a request body if the configuration sets no
	// limit.
	defaultBodyBytes = 4 << 20
)

// gatewayDaemon is a running gateway process.
type gatewayDaemon struct {
	*daemon
	settings conf.Gateway
	file     string
	store    *platform.Store
	links    *link.Group
	configs  *follow.Configs
	fleets   *follow.Fleets
	ledger   *ledger.Ledger
	prompts  *blame.Tracker
	limits   *limit.TargetLimiter
	sched    *sched.Scheduler
	peers    *peers.Peers
	members  *peers.Members
	planner  *plan.Planner
	server   *proxy.Server
	// times are those that follow from the bounds of the deployment.
	times bounds.Times
	// gatewayCount is the number of gateways that share the retry limit.
	gatewayCount atomic.Int64
}

func gatewayCommand() *cobra.Command {
	var file, drain, configApply, contracts string
	c := &cobra.Command{
		Use:   "gateway [--config FILE] [--drain DURATION] [--config-apply DURATION] [--contracts LIST]",
		Short: "Run a gateway with the settings in a TOML file",
		Long: "Run a gateway: an entry for deployments whose operator declares routes in the\n" +
			"platform's store and whose targets pass tokens on to one another.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			text, err := readSettings(file)
			if err != nil {
				return err
			}
			settings, err := conf.ParseGateway(text)
			if err != nil {
				return err
			}
			if settings, err = settings.WithBounds(drain, configApply); err != nil {
				return err
			}
			settings.RequireKeys = settings.RequireKeys || platform.KeysRequired(contracts)
			return runGateway(c.Context(), file, settings, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings file; by default the one that $"+settingsVariable+" names")
	c.Flags().StringVar(&drain, "drain", "", "Bounds.Drain, in place of the one in the file")
	c.Flags().StringVar(&configApply, "config-apply", "", "Bounds.ConfigApply, in place of the one in the file")
	c.Flags().StringVar(&contracts, "contracts", "", "the platform's contracts in force, separated by commas; those on client accounts set RequireKeys")
	c.AddCommand(gatewayStatusCommand(), gatewayExplainCommand())
	return c
}

// runGateway runs a gateway until a signal arrives and its open requests have
// ended.
func runGateway(ctx context.Context, file string, settings conf.Gateway, logs io.Writer) error {
	signaled, cancel := signals(ctx)
	defer cancel()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	limitHeap(settings.MemoryMegabytes)
	debug.SetGCPercent(gatewayGCPercent)
	lines := spool.New(logs, timer.System{})
	defer lines.Close()
	g := newGateway(file, settings, lines)
	_ = level.Info(g.logger).Log("event", "Start", "incarnation", g.incarnation, "dataCentre", settings.DataCentre,
		"store", settings.Store, "firstStart", settings.FirstStart, "drain", settings.Bounds.Drain, "configApply", settings.Bounds.ConfigApply)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	// The last requests are answered before the background tasks end.
	defer g.close()
	for _, run := range []func(context.Context){
		g.configs.Run, g.fleets.Run, g.peers.Run, g.members.Run, g.planner.Run,
		func(ctx context.Context) { g.reload(ctx, reloads) },
	} {
		wg.Go(func() { run(work) })
	}
	if err := g.listen(); err != nil {
		return err
	}
	if err := g.wait(signaled); err != nil {
		return err
	}
	g.drain()
	return nil
}

func newGateway(file string, settings conf.Gateway, logs io.Writer) *gatewayDaemon {
	d := newDaemon(settings.Instance, settings.Log, logs)
	d.boundCallers(settings.Callers, settings.MemoryMegabytes)
	g := &gatewayDaemon{daemon: d, settings: settings, file: file}
	g.gatewayCount.Store(1)
	g.store = platform.NewStore(settings.Store, plat.WithTimeout(storeTimeout), plat.WithResponseBytes(storeResponseBytes), plat.WithClock(d.clock))
	g.configs = follow.NewConfigs(g.store, d.clock, bootClock, d.logger)
	g.fleets = follow.NewFleets(g.store, d.clock, bootClock, d.logger)
	g.times = bounds.Derive(bounds.Bounds{
		Drain: settings.Bounds.Drain.Duration, ConfigApply: settings.Bounds.ConfigApply.Duration, KeyLife: settings.KeyLife.Duration,
	})
	g.configs.SetTimes(g.times.Config)
	g.configs.SetRequireKeys(settings.RequireKeys)
	g.fleets.SetTimes(g.times.Targets)
	g.noteBounds()
	g.ledger = ledger.New(d.clock)
	g.sched = sched.New(d.clock)
	g.prompts = blame.New(blame.Options{Clock: d.clock, Log: d.logger, Instance: settings.Instance})
	client := targetClient()
	engines := platform.Engines{Client: client, Answered: func(t topo.Target, status int, a proxy.ResponseHeaders) {
		g.server.NoteAnswer(t, status, a)
	}}
	handlers := &deferredHandlers{}
	g.links = d.newLinkGroup(linkSettings{times: settings.Links, hello: g.hello, handler: handlers})
	retryBounds := limit.RetryBounds{Window: settings.Repeats.Window.Duration, Ratio: settings.Repeats.Ratio, Slack: settings.Repeats.Slack}
	retries := limit.NewRetryLimiter(d.clock, retryBounds, func() int { return int(g.gatewayCount.Load()) })
	self := peers.Member{
		Instance: settings.Instance, Address: settings.Advertise, DataCentre: settings.DataCentre, MilliCores: int(1000 * settings.Processor),
	}
	g.members = peers.NewMembers(self, g.store, g.links, d.clock, d.logger, func(n int) { g.gatewayCount.Store(int64(n)) })
	g.limits = limit.NewTargetLimiter(d.clock, limit.Gateway{Instance: self.Instance, DataCentre: self.DataCentre}, g.members)
	g.peers = peers.New(peers.Options{
		Self: self, Incarnation: d.incarnation, Members: g.members, Links: g.links, Clock: d.clock, BootClock: bootClock, Log: d.logger,
		Configs: g.configs, Fleets: g.fleets, Ledger: g.ledger, Prompts: g.prompts, Limits: g.limits, Retries: retries,
		Times: g.times,
	})
	d.metrics.NewGauge("shallotcourse_store_era", func() float64 { return float64(g.store.Era()) })
	d.metrics.NewGauge("shallotcourse_prompt_holds", func() float64 { return float64(len(g.prompts.Holds())) })
	d.metrics.NewGauge("shallotcourse_target_limits", func() float64 { return float64(len(g.limits.Limits())) })
	d.metrics.NewGauge("shallotcourse_targets_leaving", func() float64 { return float64(len(g.limits.Leaving())) })
	d.metrics.NewGauge("shallotcourse_targets_paused", func() float64 { return float64(len(g.limits.Paused())) })
	g.configs.SetRole(g.peers.Role)
	if !settings.FirstStart {
		g.configs.SetAwait(g.peers.AwaitConfig)
	}
	g.fleets.SetRole(g.peers.Role)
	handlers.set(g.peers)
	g.server = proxy.New(proxy.Options{
		Settings: proxy.Settings{
			DataCentre: settings.DataCentre, BodyBytes: defaultBodyBytes,
			ConfigMaxAge: g.times.KeyMaxAge,
			StallLimit:   settings.StallLimit.Duration, CrossCost: crossDataCentreCost, CrossByDelays: settings.CrossByDelays,
		},
		Clock: d.clock, Log: d.logger, Metrics: d.metrics, Configs: g.configs, Fleets: g.fleets, Ledger: g.ledger,
		Prompts: g.prompts, Limits: g.limits, Retries: retries, Returns: limit.NewRetryPacer(d.clock), Sched: g.sched, LoadLag: g.peers.LoadLag,
		LoadAge: g.peers.LoadAge,
		Dialect: platform.Dialect{}, Engines: engines, Client: client,
	})
	g.planner = plan.New(plan.Options{
		Instance: settings.Instance, Incarnation: d.incarnation, Source: g.store, Clock: d.clock, BootClock: bootClock, Log: d.logger,
		Metrics: d.metrics, Configs: g.configs, Fleets: g.fleets, Ledger: g.ledger, Peers: g.peers, Engines: engines,
		Limits: g.limits, FirstStart: settings.FirstStart, NoRequestsYet: func() bool { return g.server.TotalRequests() == 0 },
	})
	return g
}

// targetClient returns a client that opens a new connection for each request. A
// reused connection could hold an unsolicited response, or have been lost
// without notice.
func targetClient() *http.Client {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &http.Client{
		Transport: httpc.NewTransport(&http.Transport{
			DialContext: proxy.CheckSends(dialer.DialContext), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: targetHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// bootClock is a monotonic clock that also counts suspension of the machine.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux always provides this clock; without it, no age is reliable.
		panic(err)
	}
	return time.Duration(t.Nano())
}

func (g *gatewayDaemon) hello() wire.Hello {
	return wire.Hello{
		Version: wire.Version, Role: wire.RoleGateway, Instance: g.settings.Instance, Incarnation: g.incarnation,
		DataCentre: g.settings.DataCentre, Address: g.settings.Advertise, Revision: g.configs.Section().Value().Version,
	}
}

func (g *gatewayDaemon) listen() error {
	checks := mux.NewRouter()
	checks.HandleFunc(g.settings.ReadyPath, readyHandler(g.ready)).Methods(http.MethodGet)
	operators := mux.NewRouter()
	g.registerOperations(operators, g.ready)
	operators.HandleFunc("/status", g.status).Methods(http.MethodGet)
	operators.HandleFunc("/explain", g.explain).Methods(http.MethodGet)
	descriptors := descriptorLimit()
	for _, l := range []listenerSettings{
		{name: "links", address: g.settings.LinkListen, limits: linkLimits(descriptors), handler: linkRouter(g.links)},
		{name: "operators", address: g.settings.OpsListen, limits: operatorLimits(descriptors), handler: operators},
		{name: "checks", address: g.settings.ReadyListen, limits: checkLimits(descriptors), handler: checks},
		{
			name: "callers", address: g.settings.Listen, limits: callerLimits(g.settings.Callers.Connections, descriptors),
			handler: g.server, budget: g.budget,
		},
	} {
		l.headerBytes = gatewayHeaderBytes
		if err := g.serve(l); err != nil {
			return err
		}
	}
	return nil
}

// ready returns the reason why the load balancer should send callers to other
// gateways, or nil.
func (g *gatewayDaemon) ready() error {
	if g.server.Draining() {
		return fault.New(fault.Leaving, "the gateway is stopping")
	}
	if age := g.configs.Age(); age > g.settings.KeyLife.Duration {
		return fault.Newf(fault.Unavailable, "the configuration was last proved %s ago", age.Round(time.Millisecond))
	}
	if g.fleets.Section().Value().Read == 0 {
		return fault.New(fault.Unavailable, "the target list has not been read yet")
	}
	return nil
}

// reload checks the settings file at each signal and logs the result. New
// settings take effect at the next start.
func (g *gatewayDaemon) reload(ctx context.Context, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			text, err := readSettings(g.file)
			if err == nil {
				_, err = conf.ParseGateway(text)
			}
			_ = level.Info(g.logger).Log("event", "Reload", "file", g.file, "err", err)
		}
	}
}
