package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// headerTimeout bounds the time to receive the headers of a request on any
	// listener.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is
	// closed.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the shutdown of the listeners after the work has
	// ended.
	closeTimeout = 2 * time.Second
)

type (
	// daemon holds what the entry, agent and gateway processes share.
	daemon struct {
		clock       timer.Service
		logger      log.Logger
		metrics     *metrics.Set
		incarnation string
		// crowd counts the evicted and refused connections of all listeners.
		crowd *crowd
		// budget bounds the memory that callers claim; nil in an agent.
		budget *budget.Budget

		// stopping is set when the listeners are about to close.
		stopping  atomic.Bool
		mu        sync.Mutex
		servers   []*http.Server
		listeners []*stopListener
		// listenerFailed receives the errors of listeners that end before the
		// shutdown.
		listenerFailed chan error
	}

	// listenerSettings holds the parameters of daemon.serve.
	listenerSettings struct {
		// name says in the log who the listener is for.
		name, address string
		headerBytes   int64
		limits        connLimits
		handler       http.Handler
		// budget bounds the memory that callers claim; nil on listeners that are not
		// for callers.
		budget *budget.Budget
	}

	// linkDownCounter counts closed links by the error code of the reason.
	linkDownCounter struct{ set *metrics.Set }

	// linkSettings holds the parameters of newLinkGroup.
	linkSettings struct {
		times   conf.Links
		hello   func() wire.Hello
		handler link.Handler
	}
)

func newDaemon(instance string, settings conf.Log, w io.Writer) *daemon {
	d := &daemon{
		clock: timer.System{}, metrics: metrics.NewSet(), incarnation: uuid.NewString(),
		listenerFailed: make(chan error, 8),
	}
	d.logger = log.With(newLogger(settings, w, d.clock), "instance", instance)
	d.crowd = newCrowd(d.clock, d.logCrowd)
	return d
}

// logCrowd logs the connections that were evicted and refused since its last call.
func (d *daemon) logCrowd(c crowdCounts) {
	_ = level.Warn(d.logger).Log("event", "CallersEvicted", "evicted", countsText(c.Evicted), "refused", countsText(c.Refused))
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

// signals returns a context that ends at the first SIGTERM or interrupt, or one of
// the given signals. The handlers remain until the process ends, so that no later
// signal cuts requests; only a second interrupt ends the process at once. It is
// called before the process listens.
func signals(ctx context.Context, more ...os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	received := make(chan os.Signal, 8)
	signal.Notify(received, append(more, syscall.SIGTERM, os.Interrupt)...)
	go func() {
		for s := range received {
			if s == os.Interrupt {
				signal.Reset(os.Interrupt)
			}
			cancel()
		}
	}()
	return ctx, cancel
}

// serve listens on an address and serves requests there until the daemon shuts
// down.
func (d *daemon) serve(s listenerSettings) error {
	l, err := listenTCP(s.address, d.clock)
	if err != nil {
		return fault.Newf(fault.BadInput, "cannot listen on %s for %s", s.address, s.name).WithCause(err)
	}
	l.conns.limits, l.conns.crowd, l.conns.budget = s.limits, d.crowd, s.budget
	server := &http.Server{
		Handler: d.trackRequests(s.handler), ReadHeaderTimeout: s.limits.Head, ReadTimeout: s.limits.Receive,
		IdleTimeout: idleTimeout, MaxHeaderBytes: int(s.headerBytes),
		ConnState: l.conns.noteState, ConnContext: l.conns.withConn,
	}
	d.mu.Lock()
	d.servers, d.listeners = append(d.servers, server), append(d.listeners, l)
	d.mu.Unlock()
	_ = level.Info(d.logger).Log("msg", "listening", "for", s.name, "address", l.Addr().String())
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			d.listenerFailed <- fault.Newf(fault.Internal, "listener for %s failed", s.name).WithCause(err)
		}
	}()
	return nil
}

// wait returns nil when ctx is done, or the error of the first listener that
// fails.
func (d *daemon) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.listenerFailed:
		return err
	}
}

// shutdown closes the listeners and waits until the responses in progress have
// been written, for the given time at most. By then, requests are refused at
// once, also those that arrive late on open connections.
func (d *daemon) shutdown(limit time.Duration) {
	d.stopping.Store(true)
	ctx, cancel := timer.WithTimeout(context.Background(), d.clock, limit)
	defer cancel()
	d.mu.Lock()
	servers, listeners := d.servers, d.listeners
	d.mu.Unlock()
	var wg sync.WaitGroup
	for i, l := range listeners {
		wg.Go(func() {
			l.Stop(ctx)
			l.conns.end(ctx)
			_ = servers[i].Close()
		})
	}
	wg.Wait()
	_ = level.Info(d.logger).Log("msg", "stopped")
}

// newLinkGroup returns the link group of the process and exports its counters.
func (d *daemon) newLinkGroup(s linkSettings) *link.Group {
	g := link.NewGroup(link.Config{
		Hello: s.hello, Handler: link.Handlers{s.handler, linkDownCounter{d.metrics}}, Timer: d.clock, Logger: d.logger,
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
func (linkDownCounter) LinkUp(link.Peer) {}

// Receive implements link.Handler.
func (linkDownCounter) Receive(link.Peer, wire.Message) {}

// LinkDown implements link.Handler.
func (c linkDownCounter) LinkDown(_ link.Peer, reason error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("shallotcourse_links_down_total{Code=%q}", fault.As(reason).Code)).Inc()
}

// registerOperations adds the metrics and the health checks to a router. check
// returns the reason why the process is not ready, or nil.
func (d *daemon) registerOperations(m *mux.Router, check func() error) {
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

// linkRouter serves the link protocol at link.Path.
func linkRouter(g *link.Group) http.Handler {
	m := mux.NewRouter()
	m.Handle(link.Path, g)
	return m
}
