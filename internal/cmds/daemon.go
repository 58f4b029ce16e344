package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// headerTimeout bounds the headers of a request on any listener.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections that are kept alive without requests.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the last steps of a stop, after the work has ended.
	closeTimeout = 2 * time.Second
)

type (
	// daemon holds what the entry and the agent processes share.
	daemon struct {
		clock       timer.Service
		logger      log.Logger
		metrics     *metrics.Set
		incarnation string

		mu      sync.Mutex
		servers []*http.Server
		// failed carries the first listener that ends before the stop.
		failed chan error
	}

	// downCounter counts ended links by their reason.
	downCounter struct{ set *metrics.Set }

	// linkSettings is what the links of a process are made from.
	linkSettings struct {
		times   conf.Links
		hello   func() wire.Hello
		handler link.Handler
	}
)

func newDaemon(instance string, settings conf.Log, w io.Writer) *daemon {
	d := &daemon{
		clock: timer.System{}, metrics: metrics.NewSet(), incarnation: uuid.NewString(),
		failed: make(chan error, 8),
	}
	d.logger = log.With(newLogger(settings, w, d.clock), "instance", instance)
	return d
}

func newLogger(settings conf.Log, w io.Writer, clock timer.Service) log.Logger {
	w = log.NewSyncWriter(w)
	logger := log.NewLogfmtLogger(w)
	if settings.Format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(settings.Level, level.InfoValue())))
	now := func() time.Time { return clock.Now().UTC() }
	return log.With(logger, "time", log.TimestampFormat(now, "2006-01-02T15:04:05.000Z07:00"))
}

// signals returns a context that ends at the first SIGTERM or interrupt. A
// second signal ends the process at once.
func signals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// serve listens on an address and serves it until the daemon stops.
func (d *daemon) serve(name, address string, headerBytes int64, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Newf(fault.BadInput, "cannot listen on %s for %s", address, name).WithCause(err)
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: int(headerBytes),
	}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	_ = level.Info(d.logger).Log("msg", "listening", "for", name, "address", l.Addr().String())
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			d.failed <- fault.Newf(fault.Internal, "listener for %s ended", name).WithCause(err)
		}
	}()
	return nil
}

// wait returns when ctx ends, or with the failure of a listener.
func (d *daemon) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failed:
		return err
	}
}

// shutdown closes the listeners and waits for the last answers to be written.
func (d *daemon) shutdown() {
	ctx, cancel := timer.WithTimeout(context.Background(), d.clock, closeTimeout)
	defer cancel()
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	_ = level.Info(d.logger).Log("msg", "stopped")
}

// links returns the links of the process and exports their counters.
func (d *daemon) links(s linkSettings) *link.Group {
	g := link.NewGroup(link.Config{
		Hello: s.hello, Handler: link.Handlers{s.handler, downCounter{d.metrics}}, Timer: d.clock, Logger: d.logger,
		Heartbeat: s.times.Heartbeat.Duration, Silence: s.times.Silence.Duration, DialTimeout: s.times.DialTimeout.Duration,
	})
	gauge := func(name string, f func(link.Stats) uint64) {
		d.metrics.NewGauge(name, func() float64 { return float64(f(g.Stats())) })
	}
	gauge("shallotcourse_links", func(s link.Stats) uint64 { return uint64(s.Links) })
	gauge(`shallotcourse_link_messages_total{Direction="In"}`, func(s link.Stats) uint64 { return s.MessagesIn })
	gauge(`shallotcourse_link_messages_total{Direction="Out"}`, func(s link.Stats) uint64 { return s.MessagesOut })
	gauge(`shallotcourse_link_bytes_total{Direction="In"}`, func(s link.Stats) uint64 { return s.BytesIn })
	gauge(`shallotcourse_link_bytes_total{Direction="Out"}`, func(s link.Stats) uint64 { return s.BytesOut })
	return g
}

// LinkUp implements link.Handler.
func (downCounter) LinkUp(link.Peer) {}

// Receive implements link.Handler.
func (downCounter) Receive(link.Peer, wire.Message) {}

// LinkDown implements link.Handler.
func (c downCounter) LinkDown(_ link.Peer, reason error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("shallotcourse_links_down_total{Code=%q}", fault.As(reason).Code)).Inc()
}

// operations adds the metrics and the health checks to a router. The check
// returns the reason why the process is not ready, or nil.
func (d *daemon) operations(m *mux.Router, check func() error) {
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	}).Methods(http.MethodGet)
	m.HandleFunc("/readyz", readyHandler(check)).Methods(http.MethodGet)
}

func readyHandler(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, fault.As(err).Detail, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	}
}

// linkRouter serves links at their path.
func linkRouter(g *link.Group) http.Handler {
	m := mux.NewRouter()
	m.Handle(link.Path, g)
	return m
}
