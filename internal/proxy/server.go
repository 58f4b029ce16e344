package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// freshPoll is the pause between two looks at the age of the
	// configuration while a request waits for it.
	freshPoll = 20 * time.Millisecond
	// freshWait is how long a request waits for the configuration to be proved
	// fresh, which takes one call to the store after a pause of the process.
	freshWait = 250 * time.Millisecond
	// defaultBudget is the time of a request whose caller and route set none.
	defaultBudget = 30 * time.Second
	// leaveAccept is how long after the start of a stop requests are still
	// accepted: the balancer needs two failed checks, a second apart each, and
	// requests cross them on the way.
	leaveAccept = 3 * time.Second
)

type (
	// Settings bounds the data path.
	Settings struct {
		DataCentre string
		// ConfigLife is the age from which the configuration no longer proves
		// that a key is valid.
		ConfigLife time.Duration
		// BodyBytes bounds a request where the configuration does not.
		BodyBytes int64
		// StallLimit is how long targets hold work that waits for a lost one.
		StallLimit time.Duration
		// CrossCost is what a hop between data centres counts on top of its
		// delay when paths are compared.
		CrossCost time.Duration
	}

	// Options is what a Server works with.
	Options struct {
		Settings Settings
		Clock    timer.Service
		Log      log.Logger
		Metrics  *metrics.Set
		Configs  *follow.Configs
		Fleets   *follow.Fleets
		Ledger   *ledger.Ledger
		Repeats  *limit.Repeats
		Returns  *limit.Returns
		// Unheard returns the number of other gateways and the time by which
		// what the ledger holds of them lags behind.
		Unheard func() (others int, lag time.Duration)
		Dialect Dialect
		Engines Engines
		// Client sends requests to targets. It must not repeat them, reuse
		// connections or decode bodies.
		Client *http.Client
	}

	// Server is the http.Handler for callers.
	Server struct {
		Options
		open, requests atomic.Int64
		// leaving is the start of a stop; nil before.
		leaving atomic.Pointer[time.Time]
		reports reports
		plain   plainStats
		// cut ends the streams that outlast a stop.
		cut     context.Context
		cutOpen context.CancelFunc
	}

	// request is one caller's request on its way.
	request struct {
		*Server
		w     http.ResponseWriter
		r     *http.Request
		ask   Ask
		route topo.Route
		// service is the one that this request goes to.
		service topo.Service
		// version is that of the configuration that admitted the request.
		version uint64
		account string
		body    []byte
		arrived time.Time
		// end is when the caller or the route gives up.
		end time.Time
		// sends counts requests to targets, and runs those of them that a
		// target may have run.
		sends, runs int
		// first is the time of the first byte to the caller.
		first time.Time
		path  string
		// done says that the outcome is logged.
		done bool
	}
)

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o}
	s.cut, s.cutOpen = context.WithCancel(context.Background())
	s.reports.init()
	s.plain.init()
	o.Metrics.NewGauge("shallotcourse_requests_open", func() float64 { return float64(s.open.Load()) })
	return s
}

// Open counts the requests that have no answer yet.
func (s *Server) Open() int { return int(s.open.Load()) }

// Leave starts a stop: connections close after their answers, and after a
// while new requests are refused.
func (s *Server) Leave() {
	now := s.Clock.Now()
	s.leaving.Store(&now)
}

// Leaving reports whether a stop has begun.
func (s *Server) Leaving() bool { return s.leaving.Load() != nil }

// Left reports whether the stop has gone on for so long that no new requests
// are accepted.
func (s *Server) Left() bool {
	left := s.leaving.Load()
	return left != nil && s.Clock.Now().Sub(*left) > leaveAccept
}

// Requests counts all requests since the start.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Cut ends the streams that are still open; their callers resume elsewhere.
func (s *Server) Cut() { s.cutOpen() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	s.requests.Add(1)
	defer s.open.Add(-1)
	q := &request{Server: s, w: w, r: r, ask: s.Dialect.Read(r.Header), arrived: s.Clock.Now()}
	left := s.leaving.Load()
	if left != nil {
		w.Header().Set("Connection", "close")
	}
	if s.Left() {
		q.refuse(fault.New(fault.Leaving, "the gateway is stopping"))
		return
	}
	if err := q.admit(); err != nil {
		q.refuse(err)
		return
	}
	s.Repeats.Request(q.service.Name)
	switch {
	case q.route.Semantics == topo.Stream && q.service.Model != nil:
		q.serveStream()
	default:
		q.servePlain()
	}
}

// admit checks what the configuration says of the request and reads its body.
func (q *request) admit() error {
	if err := q.waitFor(func() bool { return q.Fleets.Section().Value().Read > 0 }); err != nil {
		return fault.New(fault.Unavailable, "the list of targets is not read yet").WithCause(err)
	}
	config := q.Configs.Section().Value()
	q.version = config.Version
	route, ok := config.Match(q.r.Host, q.r.URL.Path)
	if keyed := !route.Public && !config.Keyless(); !ok || keyed {
		// What is refused or needs a key must not rest on an old version.
		fresh, err := q.freshConfig()
		if err != nil {
			return err
		}
		config = fresh
		if route, ok = config.Match(q.r.Host, q.r.URL.Path); !ok {
			return fault.Newf(fault.NotFound, "no route for host %q and path %q", q.r.Host, q.r.URL.Path)
		}
	}
	q.version, q.route = config.Version, route
	if !route.Public && !config.Keyless() {
		account, ok := config.Account(q.ask.Key)
		if !ok {
			return fault.New(fault.Unauthorized, "the key is not known")
		}
		q.account = account.Name
	}
	name := route.Pick(q.ask.ID)
	if q.service, ok = config.Service(name); !ok {
		q.service = topo.Service{Name: name}
	}
	budget := q.ask.Budget
	if route.Timeout > 0 && (budget <= 0 || route.Timeout < budget) {
		budget = route.Timeout
	}
	if budget <= 0 {
		budget = defaultBudget
	}
	q.end = q.arrived.Add(budget)
	return q.readBody(config.Limits.BodyBytes)
}

// freshConfig returns the configuration once it is proved to be fresh enough
// to answer for keys. The proof is renewed all the time, so a stale one means
// that the process or its way to the store stood still.
func (q *request) freshConfig() (follow.Config, error) {
	err := q.waitFor(func() bool {
		return q.Configs.Section().Value().Version > 0 && q.Configs.Age() < q.Settings.ConfigLife
	})
	if err != nil {
		q.Metrics.GetOrCreateCounter("shallotcourse_config_stale_refusals_total").Inc()
		e := fault.Newf(fault.Unavailable, "the configuration was last proved %s ago", q.Configs.Age().Round(time.Millisecond))
		return follow.Config{}, e.WithCause(err)
	}
	return q.Configs.Section().Value(), nil
}

// waitFor waits until something is known that one call to the store renews.
func (q *request) waitFor(known func() bool) error {
	for !known() {
		if q.Clock.Now().Sub(q.arrived) > freshWait {
			return fault.Newf(fault.Deadline, "not known within %s", freshWait)
		}
		if err := timer.Sleep(q.r.Context(), q.Clock, freshPoll); err != nil {
			return fault.New(fault.Canceled, "the caller left").WithCause(err)
		}
	}
	return nil
}

func (q *request) readBody(bound int64) error {
	if bound <= 0 {
		bound = q.Settings.BodyBytes
	}
	if q.r.ContentLength > bound {
		return fault.Newf(fault.TooLarge, "the body has %d bytes; allowed: %d", q.r.ContentLength, bound)
	}
	body, err := io.ReadAll(io.LimitReader(q.r.Body, bound+1))
	if err != nil {
		return fault.New(fault.BadInput, "the body could not be read").WithCause(err)
	}
	if int64(len(body)) > bound {
		return fault.Newf(fault.TooLarge, "the body has more than %d bytes", bound)
	}
	q.body = body
	return nil
}

// left is what remains of the caller's time.
func (q *request) left() time.Duration { return q.end.Sub(q.Clock.Now()) }

// outgoing returns the request to a target.
func (q *request) outgoing(ctx context.Context, t topo.Target, send Send) *http.Request {
	u := *q.r.URL
	u.Scheme, u.Host = "http", t.Address
	h := q.r.Header.Clone()
	stripHop(h)
	send.Target, send.Account, send.Budget = t.ID, q.account, max(time.Millisecond, q.left())
	q.Dialect.Write(h, send)
	if h.Get("User-Agent") == "" {
		// An empty value keeps the client from sending its own.
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method: q.r.Method, URL: &u, Host: q.r.Host, Header: h, ContentLength: int64(len(q.body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(q.body) > 0 {
		out.Body = io.NopCloser(strings.NewReader(string(q.body)))
	}
	return out.WithContext(ctx)
}

// stripHop removes the headers that concern one connection only.
func stripHop(h http.Header) {
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

// copyHeaders passes the headers of a target's answer on.
func copyHeaders(to, from http.Header) {
	h := from.Clone()
	stripHop(h)
	for name, values := range h {
		to[name] = values
	}
}

// finish logs the decision about a request.
func (q *request) finish(status int, outcome string, reason error) {
	if q.done {
		return
	}
	q.done = true
	now := q.Clock.Now()
	took := now.Sub(q.arrived)
	q.Metrics.GetOrCreateCounter(`shallotcourse_requests_total{Service="` + q.service.Name + `",Outcome="` + outcome + `"}`).Inc()
	q.Metrics.GetOrCreateHistogram(`shallotcourse_request_seconds{Service="` + q.service.Name + `"}`).Update(took.Seconds())
	fields := []any{
		"event", "Request", "request", q.ask.ID, "route", q.route.Name, "service", q.service.Name, "account", q.account,
		"config", q.version, "configAge", q.Configs.Age().Round(time.Millisecond), "fleetAge", q.Fleets.Age().Round(time.Millisecond),
		"status", status, "outcome", outcome, "sends", q.sends, "took", took.Round(time.Millisecond), "path", q.path,
	}
	if !q.first.IsZero() {
		q.Metrics.GetOrCreateHistogram(`shallotcourse_first_byte_seconds{Service="` + q.service.Name + `"}`).Update(q.first.Sub(q.arrived).Seconds())
		fields = append(fields, "first", q.first.Sub(q.arrived).Round(time.Millisecond))
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
