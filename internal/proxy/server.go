package proxy

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// defaultTimeout applies to requests if neither the caller nor the route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultIdleTimeout is the time after which a caller that takes nothing of a
	// response loses its connection, unless the configuration names one.
	defaultIdleTimeout = 15 * time.Second
)

type (
	// Settings holds the limits and costs of the data path.
	Settings struct {
		DataCentre string
		// ConfigMaxAge is the age from which the configuration can no longer be
		// used to check API keys.
		ConfigMaxAge time.Duration
		// BodyBytes is the maximum size of a request body, used if the
		// configuration sets none.
		BodyBytes int64
		// StallLimit is how long targets hold a request that waits for an
		// unreachable target.
		StallLimit time.Duration
		// CrossCost is added to the latency of a hop between data centres when
		// paths are compared.
		CrossCost time.Duration
		// CrossByDelays is true if what it costs to begin in another data centre follows
		// from the delays that the configuration names; otherwise it is fixed.
		CrossByDelays bool
	}

	// Options holds the dependencies of a Server.
	Options struct {
		Settings Settings
		Clock    timer.Service
		Log      log.Logger
		Metrics  *metrics.Set
		Configs  *follow.Configs
		Fleets   *follow.Fleets
		Ledger   *ledger.Ledger
		Prompts  *blame.Tracker
		Limits   *limit.TargetLimiter
		Retries  *limit.RetryLimiter
		Returns  *limit.RetryPacer
		// Sched ranks the requests of services with unequal priorities. By default, it
		// belongs to this Server alone.
		Sched *sched.Scheduler
		// LoadLag returns the number of other gateways and the age of the load
		// that the ledger holds for them.
		LoadLag func() (others int, lag time.Duration)
		// LoadAge returns the age of the loads that the gateways of a data centre
		// have reported; nil if they are always new.
		LoadAge func(dataCentre string) time.Duration
		Dialect Dialect
		Engines Engines
		// Client sends requests to targets. It must not retry requests, reuse
		// connections or decompress bodies, opens connections with CheckSends, and fails
		// on broken responses like the transports of httpc.
		Client *http.Client
	}

	// Server is the http.Handler that serves callers.
	Server struct {
		Options
		openRequests, totalRequests atomic.Int64
		// acceptUntil is the time from which a drain refuses new requests; nil before
		// the drain.
		acceptUntil atomic.Pointer[time.Time]
		reports     reportCache
		buffers     responseBuffers
		latencies   *latencyStats
		crossCosts  crossCache
		dials       *dialTimes
		// rankedVersion is the version of the configuration whose ranks Sched has; 0
		// before the first.
		rankedVersion atomic.Uint64
		// abortCtx is cancelled to end the streams that are still open at the
		// end of the drain.
		abortCtx context.Context
		abort    context.CancelFunc
		// abortCalls is closed to end the other requests that are still open
		// just before the listeners close.
		abortCalls     chan struct{}
		abortCallsOnce sync.Once
	}

	// request is the state of one caller's request.
	request struct {
		*Server
		w http.ResponseWriter
		r *http.Request
		// writer is the part of w that bounds writes; nil if nothing does.
		writer *budget.Writer
		// claim is that of the connection; nil counts nothing.
		claim *budget.Claim
		// room is the part of claim for responses.
		room    *responseRoom
		headers RequestHeaders
		route   topo.Route
		// service is the service chosen for this request.
		service topo.Service
		// version is the version of the configuration that admitted the
		// request, and configAge the time since its confirmation then.
		version   uint64
		configAge time.Duration
		account   string
		// priority is that of the account, or else of the route.
		priority int
		// waited is the time for which the request has waited for room at targets.
		waited time.Duration
		// admission is the rule by which the request was admitted or refused.
		admission admission
		// bodyRead is true once body holds the whole body.
		bodyRead bool
		body     *budget.Body
		arrived  time.Time
		// deadline is the earlier of the caller's and the route's deadline.
		deadline time.Time
		// sendCount is the number of requests sent to targets. possibleRuns is
		// the number of those that a target may have run.
		sendCount, possibleRuns int
		// oldestList is the greatest age of the target list at a send to a target.
		oldestList atomic.Int64
		// firstByte is the time of the first byte sent to the caller.
		firstByte time.Time
		// pathLog lists the targets and paths used, for the log.
		pathLog  string
		crossing crossing
		// recorded is true once the outcome is logged and counted.
		recorded bool
	}
)

// New returns a Server with the given dependencies.
func New(o Options) *Server {
	s := &Server{Options: o, dials: &dialTimes{}, latencies: newLatencyStats(), abortCalls: make(chan struct{})}
	if s.Sched == nil {
		s.Sched = sched.New(o.Clock)
	}
	s.abortCtx, s.abort = context.WithCancel(context.Background())
	s.reports.init()
	o.Metrics.NewGauge("shallotcourse_response_buffer_bytes", func() float64 { return float64(s.buffers.bytes.Load()) })
	o.Metrics.NewGauge("shallotcourse_requests_open", func() float64 { return float64(s.openRequests.Load()) })
	return s
}

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int { return int(s.openRequests.Load()) }

// StartDrain starts a drain: connections are closed after their responses, and
// new requests are refused after the given time.
func (s *Server) StartDrain(accept time.Duration) {
	until := s.Clock.Now().Add(accept)
	s.acceptUntil.Store(&until)
}

// Draining reports whether a drain has started.
func (s *Server) Draining() bool { return s.acceptUntil.Load() != nil }

// RefusesNew reports whether the drain has lasted long enough that new requests
// are refused.
func (s *Server) RefusesNew() bool {
	until := s.acceptUntil.Load()
	return until != nil && s.Clock.Now().After(*until)
}

// TotalRequests returns the number of requests since the process started.
func (s *Server) TotalRequests() int64 { return s.totalRequests.Load() }

// AbortStreams ends the streams that are still open. Their callers resume at
// another gateway.
func (s *Server) AbortStreams() { s.abort() }

// AbortCalls ends the other requests that are still open with an error. Their
// targets may still run them.
func (s *Server) AbortCalls() { s.abortCallsOnce.Do(func() { close(s.abortCalls) }) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	s.totalRequests.Add(1)
	defer s.openRequests.Add(-1)
	writer := budget.NewWriter(w, r, s.Clock, s.idleTimeout())
	tracker := &headTracker{ResponseWriter: writer}
	q := &request{Server: s, w: tracker, r: r, arrived: s.Clock.Now(), writer: writer, claim: budget.FromContext(r.Context())}
	if q.claim != nil {
		q.room = &responseRoom{claim: q.claim}
	}
	q.claim.SetPhase(budget.Receiving)
	defer q.release()
	defer q.endPanic(func() bool { return tracker.written })
	q.headers = s.Dialect.ReadRequest(r.Header)
	if s.Draining() {
		w.Header().Set("Connection", "close")
	}
	if err := q.admit(); err != nil {
		q.refuse(err)
		return
	}
	s.Retries.CountRequest(q.service.Name)
	if q.isStream() {
		q.serveStream()
	} else {
		q.servePlain()
	}
}

// isStream reports whether the request is answered by a model's event stream.
func (q *request) isStream() bool {
	return q.route.Semantics == topo.Stream && q.service.Model != nil
}

// idleTimeout returns the time after which a caller that takes nothing of a response
// loses its connection.
func (s *Server) idleTimeout() time.Duration {
	return cmp.Or(s.Configs.Section().Value().Limits.IdleTimeout, defaultIdleTimeout)
}

// release gives back what the request has claimed.
func (q *request) release() {
	q.room.end()
	q.body.Release()
	q.claim.SetPhase(budget.Receiving)
}

// beginRun is called before the first send to a target. It fails if the request has
// given way to others.
func (q *request) beginRun() *fault.Error {
	if err := q.room.reserve(q.r.Context()); err != nil {
		return err
	}
	if err := q.claim.BeginRun(); err != nil {
		return noRoomError(err)
	}
	return nil
}

// noRoomError returns a failure of the budget without its hint, so that the callers
// refused at the same time are told to return one after the other.
func noRoomError(err error) *fault.Error { return fault.As(err).WithRetryAfter(0) }

// remaining returns the time until the request's deadline.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.Clock.Now()) }

// outgoing builds the request that is sent to a target.
func (q *request) outgoing(ctx context.Context, t topo.Target, send TargetHeaders) *http.Request {
	u := *q.r.URL
	u.Scheme, u.Host = "http", t.Address
	h := q.r.Header.Clone()
	removeHopByHopHeaders(h)
	send.Target, send.Account, send.Remaining = t.ID, q.account, max(time.Millisecond, q.remaining())
	send.Ranked, send.Priority = q.Sched.Ranked(q.service.Name), sched.Clamp(q.priority)
	q.Dialect.WriteRequest(h, send)
	if h.Get("User-Agent") == "" {
		// An empty value prevents the client from adding its own User-Agent.
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method: q.r.Method, URL: &u, Host: q.r.Host, Header: h, ContentLength: q.body.Len(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if q.body.Len() > 0 {
		out.Body = io.NopCloser(q.body.Reader())
	}
	return out.WithContext(ctx)
}

// removeHopByHopHeaders removes the headers that apply to a single connection
// only.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		h.Del(name)
	}
}

// copyHeaders copies the end-to-end headers of a target's response.
func copyHeaders(to, from http.Header) {
	h := from.Clone()
	removeHopByHopHeaders(h)
	for name, values := range h {
		to[name] = values
	}
}

// recordOutcome logs the outcome of the request and updates the metrics. Only
// the first call has an effect.
func (q *request) recordOutcome(status int, outcome string, reason error) {
	if q.recorded {
		return
	}
	q.recorded = true
	now := q.Clock.Now()
	took := now.Sub(q.arrived)
	q.Metrics.GetOrCreateCounter(`shallotcourse_requests_total{Service="` + q.service.Name + `",Outcome="` + outcome + `"}`).Inc()
	q.Metrics.GetOrCreateHistogram(`shallotcourse_request_seconds{Service="` + q.service.Name + `"}`).Update(took.Seconds())
	fields := []any{
		"event", "Request", "request", q.headers.ID, "route", q.route.Name, "service", q.service.Name, "account", q.account, "admission", q.admission,
		"config", q.version, "configAge", q.Configs.Age().Round(time.Millisecond), "admitAge", q.configAge.Round(time.Millisecond), "fleetAge", q.Fleets.Age().Round(time.Millisecond),
		"sendAge", time.Duration(q.oldestList.Load()).Round(time.Millisecond), "status", status, "outcome", outcome, "sends", q.sendCount, "took", took.Round(time.Millisecond), "path", q.pathLog,
		"prompt", promptText(q.headers.PromptParts), "priority", q.priority, "waited", q.waited.Round(time.Millisecond),
	}
	fields = append(fields, q.crossFields()...)
	if !q.firstByte.IsZero() {
		q.Metrics.GetOrCreateHistogram(`shallotcourse_first_byte_seconds{Service="` + q.service.Name + `"}`).Update(q.firstByte.Sub(q.arrived).Seconds())
		fields = append(fields, "first", q.firstByte.Sub(q.arrived).Round(time.Millisecond))
	}
	logger := level.Info(q.Log)
	if outcome == "Answered" {
		q.Returns.Served(q.service.Name)
	}
	if reason != nil {
		fields = append(fields, "err", reason)
		logger = level.Warn(q.Log)
	}
	_ = logger.Log(fields...)
}
