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

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/peers"
	"shallotcourse/internal/plan"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/spool"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/platform"
)

const (
	// settingsVariable names the file of settings if no flag does.
	settingsVariable = "SHALLOTCOURSE_SETTINGS"
	// gatewayHeaderBytes bounds the headers of a caller's request.
	gatewayHeaderBytes = 64 << 10
	// dialLimit bounds a connection to a target. They are in the same region;
	// one that does not accept within it is as good as lost.
	dialLimit = 400 * time.Millisecond
	// storeLimit bounds a call to the store beyond the wait that it asks for.
	storeLimit = 700 * time.Millisecond
	// keyMargin is the part of KeyLife that is kept for the way of a request
	// from its check to the target.
	keyMargin = 0.1
	// memoryShare is the part of the process's memory that the heap may take
	// before the garbage collector works harder.
	memoryShare = 0.6
	// gatewayGC is the growth of the heap in percent between collections; the
	// live heap is small against the bound.
	gatewayGC = 300
	// cutMargin is the time before the end of a stop at which streams that
	// are still open are cut, so that their callers see it.
	cutMargin = 900 * time.Millisecond
	// leaveLimit bounds the calls to the store at a stop.
	leaveLimit = 500 * time.Millisecond
	// crossCost is what a hop between data centres counts when paths are
	// compared: some tokens' time, since a prompt holds up the pipe between
	// data centres for about as long. Paths cross for relief and repair only.
	crossCost = 60 * time.Millisecond
	// gatewayBodyBytes bounds a body where the configuration sets no bound.
	gatewayBodyBytes = 4 << 20
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
	peers    *peers.Peers
	members  *peers.Members
	planner  *plan.Planner
	server   *proxy.Server
	// gateways is the number of gateways that share what is bounded together.
	gateways atomic.Int64
}

func gatewayCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "gateway [--config FILE]",
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
			return runGateway(c.Context(), file, settings, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&file, "config", "", "file of settings; by default the one that $"+settingsVariable+" names")
	c.AddCommand(gatewayStatusCommand())
	return c
}

// runGateway runs a gateway until a signal arrives and its open requests have
// ended.
func runGateway(ctx context.Context, file string, settings conf.Gateway, logs io.Writer) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes) * (1 << 20)))
	debug.SetGCPercent(gatewayGC)
	lines := spool.New(logs, timer.System{})
	defer lines.Close()
	g := newGateway(file, settings, lines)
	_ = level.Info(g.logger).Log("event", "Start", "incarnation", g.incarnation, "dataCentre", settings.DataCentre,
		"store", settings.Store, "firstStart", settings.FirstStart)
	defer g.close()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for _, run := range []func(context.Context){
		g.configs.Run, g.fleets.Run, g.peers.Run, g.members.Run, g.planner.Run, g.reload,
	} {
		wg.Go(func() { run(work) })
	}
	if err := g.listen(); err != nil {
		return err
	}
	signaled, cancel := signals(ctx)
	defer cancel()
	if err := g.wait(signaled); err != nil {
		return err
	}
	g.drain()
	return nil
}

func newGateway(file string, settings conf.Gateway, logs io.Writer) *gatewayDaemon {
	d := newDaemon(settings.Instance, settings.Log, logs)
	g := &gatewayDaemon{daemon: d, settings: settings, file: file}
	g.gateways.Store(1)
	g.store = platform.NewStore(settings.Store, plat.WithTimeout(storeLimit), plat.WithClock(d.clock))
	g.configs = follow.NewConfigs(g.store, d.clock, bootTime, d.logger)
	g.fleets = follow.NewFleets(g.store, d.clock, bootTime, d.logger)
	g.ledger = ledger.New(d.clock)
	client := targetClient()
	engines := platform.Engines{Client: client}
	handlers := &lateHandlers{}
	g.links = d.links(linkSettings{times: settings.Links, hello: g.hello, handler: handlers})
	bounds := limit.RepeatBounds{Window: settings.Repeats.Window.Duration, Ratio: settings.Repeats.Ratio, Slack: settings.Repeats.Slack}
	repeats := limit.NewRepeats(d.clock, bounds, func() int { return int(g.gateways.Load()) })
	self := peers.Member{
		Instance: settings.Instance, Address: settings.Advertise, DataCentre: settings.DataCentre, Power: int(1000 * settings.Processor),
	}
	g.members = peers.NewMembers(self, g.store, g.links, d.clock, d.logger, func(n int) { g.gateways.Store(int64(n)) })
	g.peers = peers.New(peers.Options{
		Self: self, Incarnation: d.incarnation, Members: g.members, Links: g.links, Clock: d.clock, Steady: bootTime, Log: d.logger,
		Configs: g.configs, Fleets: g.fleets, Ledger: g.ledger, Repeats: repeats,
	})
	g.configs.PartBy(g.peers.Part)
	g.fleets.PartBy(g.peers.Part)
	handlers.set(g.peers)
	g.server = proxy.New(proxy.Options{
		Settings: proxy.Settings{
			DataCentre: settings.DataCentre, BodyBytes: gatewayBodyBytes,
			ConfigLife: time.Duration((1 - keyMargin) * float64(settings.KeyLife.Duration)),
			StallLimit: settings.StallLimit.Duration, CrossCost: crossCost,
		},
		Clock: d.clock, Log: d.logger, Metrics: d.metrics, Configs: g.configs, Fleets: g.fleets, Ledger: g.ledger,
		Repeats: repeats, Returns: limit.NewReturns(d.clock), Unheard: g.peers.Unheard,
		Dialect: platform.Dialect{}, Engines: engines, Client: client,
	})
	g.planner = plan.New(plan.Options{
		Instance: settings.Instance, Incarnation: d.incarnation, Source: g.store, Clock: d.clock, Steady: bootTime, Log: d.logger,
		Metrics: d.metrics, Configs: g.configs, Fleets: g.fleets, Ledger: g.ledger, Peers: g.peers, Engines: engines,
		FirstStart: settings.FirstStart, Quiet: func() bool { return g.server.Requests() == 0 },
	})
	return g
}

// targetClient returns a client that uses a connection once. A kept one could
// hold an answer that nobody asked for, or have fallen silent.
func targetClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialLimit}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// bootTime is a steady clock that also counts while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux has this clock; without it no age can be trusted.
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
	g.operations(operators, g.ready)
	operators.HandleFunc("/status", g.status).Methods(http.MethodGet)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"links", g.settings.LinkListen, linkRouter(g.links)},
		{"operators", g.settings.OpsListen, operators},
		{"checks", g.settings.ReadyListen, checks},
		{"callers", g.settings.Listen, g.server},
	} {
		if err := g.serve(l.name, l.address, gatewayHeaderBytes, l.handler); err != nil {
			return err
		}
	}
	return nil
}

// ready reports why callers should go elsewhere, or nil.
func (g *gatewayDaemon) ready() error {
	if g.server.Leaving() {
		return fault.New(fault.Leaving, "the gateway is stopping")
	}
	if age := g.configs.Age(); age > g.settings.KeyLife.Duration {
		return fault.Newf(fault.Unavailable, "the configuration was last proved %s ago", age.Round(time.Millisecond))
	}
	if g.fleets.Section().Value().Read == 0 {
		return fault.New(fault.Unavailable, "the list of targets is not read yet")
	}
	return nil
}

// reload reads the settings again at each SIGHUP and reports what differs;
// settings are taken over at the next start.
func (g *gatewayDaemon) reload(ctx context.Context) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			text, err := readSettings(g.file)
			if err == nil {
				_, err = conf.ParseGateway(text)
			}
			_ = level.Info(g.logger).Log("event", "Reload", "file", g.file, "err", err)
		}
	}
}

// drain lets the balancer notice the stop and the open requests end.
func (g *gatewayDaemon) drain() {
	start := g.clock.Now()
	g.server.Leave()
	_ = level.Info(g.logger).Log("event", "Stop", "open", g.server.Open())
	ctx, cancel := timer.WithTimeout(context.Background(), g.clock, leaveLimit)
	g.planner.Release(ctx)
	g.members.Leave(ctx)
	cancel()
	end := start.Add(g.settings.StopTimeout.Duration - cutMargin)
	for g.clock.Now().Before(end) && (g.server.Open() > 0 || !g.server.Left()) {
		_ = timer.Sleep(context.Background(), g.clock, drainPoll)
	}
	if n := g.server.Open(); n > 0 {
		_ = level.Warn(g.logger).Log("event", "StopCuts", "open", n)
		g.server.Cut()
		_ = timer.Sleep(context.Background(), g.clock, drainPoll)
	}
}

// close ends what is left at once: callers were told to go elsewhere, and the
// platform kills the process when its time is over.
func (g *gatewayDaemon) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		// Its connections are all idle or cut.
		_ = s.Close()
	}
	_ = level.Info(g.logger).Log("event", "Stopped", "open", g.server.Open())
}

// drainPoll is the pause between two looks at the open requests of a stop.
const drainPoll = 50 * time.Millisecond
