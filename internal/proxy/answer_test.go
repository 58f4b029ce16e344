package proxy_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/script"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/platform"
)

// returnRounding is the precision of Retry-After.
const returnRounding = 10 * time.Millisecond

type (
	// answerSite is a gateway's data path with targets that answer as the script
	// says, without a network.
	answerSite struct {
		t       *testing.T
		server  *proxy.Server
		configs *follow.Configs
		fleets  *follow.Fleets
		limits  *limit.TargetLimiter
		start   time.Time
		listed  []topo.Target
		version uint64
		sent    int
		// away is true once calls to the store fail.
		away bool

		mu sync.Mutex
		// targets is keyed by address.
		targets map[string]*answeringTarget
	}

	answeringTarget struct {
		id string
		// kind is how requests are answered, status that of unmarked failures, header
		// what all answers carry.
		kind   string
		status int
		header http.Header
		polls  int
		paths  []string
	}

	// answerSource decodes any configuration as that of the tests.
	answerSource struct{ follow.Source }
)

func (answerSource) Decode([]byte) (topo.Config, error) {
	route := func(prefix, service string, kind topo.Semantics) topo.Route {
		return topo.Route{
			Name: prefix, Host: "site.example", Prefix: prefix, Semantics: kind, Timeout: 20 * time.Second, Objective: time.Second,
			Shares: []topo.Share{{Service: service, Weight: 1}}, Attempts: 3, Resumable: kind == topo.Stream, Public: true,
		}
	}
	model := &topo.Model{
		Layers: 8, LayerMegabytes: 1, TokenMegabytes: 0.0001, Step: time.Millisecond, UsualPrompt: 10, UsualAnswer: 10, ReadPerSecond: 1e6,
		Stride: 1, Chunk: 512, Cards: map[string]topo.Card{"card": {Megabytes: 1000, Pace: 1, ReadPace: 1}},
	}
	return topo.NewConfig(1, topo.Limits{},
		[]topo.Route{route("/draft/", "llm", topo.Stream), route("/look/", "plain", topo.Repeatable), route("/once/", "plain", topo.Once)},
		[]topo.Service{{Name: "llm", Model: model}, {Name: "plain"}}, nil, nil), nil
}

func newAnswerSite(t *testing.T) *answerSite {
	clock, logger := timer.System{}, log.NewNopLogger()
	s := &answerSite{t: t, start: time.Now(), targets: map[string]*answeringTarget{}}
	bootClock := func() time.Duration { return time.Minute + time.Since(s.start) }
	s.configs = follow.NewConfigs(answerSource{}, clock, bootClock, logger)
	s.configs.ApplySync(1, []byte("x"), bootClock(), "g")
	s.fleets = follow.NewFleets(answerSource{}, clock, bootClock, logger)
	s.limits = limit.NewTargetLimiter(clock, limit.Gateway{Instance: "g"}, &oneGateway{})
	bounds := limit.RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 200}
	s.server = proxy.New(proxy.Options{
		Settings: proxy.Settings{DataCentre: "x", ConfigMaxAge: time.Hour, BodyBytes: 1000, StallLimit: 2 * time.Second},
		Clock:    clock, Log: logger, Metrics: metrics.NewSet(), Configs: s.configs, Fleets: s.fleets, Ledger: ledger.New(clock),
		Prompts: blame.New(blame.Options{Clock: clock, Log: logger, Instance: "g"}), Limits: s.limits,
		Retries: limit.NewRetryLimiter(clock, bounds, func() int { return 1 }), Returns: limit.NewRetryPacer(clock),
		LoadLag: func() (int, time.Duration) { return 0, 0 }, Dialect: platform.Dialect{}, Engines: answerEngines{site: s},
		Client: &http.Client{Transport: s},
	})
	return s
}

// oneGateway is the list of a gateway that is alone.
type oneGateway struct{}

func (*oneGateway) Version() uint64           { return 1 }
func (*oneGateway) Gateways() []limit.Gateway { return nil }

// answerEngines counts polls.
type answerEngines struct {
	proxy.Engines
	site *answerSite
}

func (e answerEngines) Report(_ context.Context, t topo.Target) (proxy.Report, error) {
	e.site.mu.Lock()
	defer e.site.mu.Unlock()
	e.site.targets[t.Address].polls++
	return proxy.Report{Started: t.Started, Held: t.Held}, nil
}

// list gives the gateway the target list as the store has it, a little older each
// time.
func (s *answerSite) list() {
	s.version++
	s.fleets.ApplySync(topo.Version{Number: s.version}, s.listed, time.Minute+time.Since(s.start)+time.Duration(s.version), "g")
	s.limits.NoteList(s.fleets.Section().Value().Fleet)
}

// confirm gives the gateway the list and the configuration again, which the store still
// has unless it is away.
func (s *answerSite) confirm() {
	if now := time.Minute + time.Since(s.start); !s.away {
		s.fleets.ApplySyncChanges(s.fleets.Section().Value().Version, nil, nil, now, "g")
		s.configs.ApplySync(1, nil, now, "g")
	}
}

// loseStore makes all calls to the store fail from now on.
func (s *answerSite) loseStore() {
	s.away = true
	ctx, cancel := context.WithCancel(s.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.fleets.Run(ctx) })
	wg.Go(func() { s.configs.Run(ctx) })
	s.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// Targets implements follow.Source.
func (answerSource) Targets(context.Context, topo.Version, time.Duration) (follow.TargetPage, error) {
	return follow.TargetPage{}, fault.New(fault.Unavailable, "the store is away")
}

// Config implements follow.Source.
func (answerSource) Config(context.Context, topo.Version, time.Duration) (follow.ConfigPage, error) {
	return follow.ConfigPage{}, fault.New(fault.Unavailable, "the store is away")
}

// Era implements follow.Source.
func (answerSource) Era() uint64 { return 0 }

// add adds a target of the service with a model if it holds layers, and else of the
// plain one.
func (s *answerSite) add(l script.Line) {
	id := l.Text("id")
	t := topo.Target{ID: id, Started: 1, Service: "plain", Address: id + ":1", DataCentre: "x", Slots: 8, Pace: 1}
	if held := l.Ints("held"); held != nil {
		t.Service, t.Card, t.Held = "llm", "card", topo.Layers{From: held[0], To: held[1]}
	}
	s.listed = append(s.listed, t)
	s.targets[t.Address] = &answeringTarget{id: id, kind: "success"}
	s.list()
}

// restart replaces a target by a new incarnation at its address, under another ID
// if the line has one. The list shows it only if told so.
func (s *answerSite) restart(l script.Line) {
	i := slices.IndexFunc(s.listed, func(t topo.Target) bool { return t.ID == l.Text("id") })
	s.listed = slices.Clone(s.listed)
	t := &s.listed[i]
	if id := l.Text("as"); id != "" {
		t.ID = id
	}
	t.Started++
	s.targets[t.Address] = &answeringTarget{id: t.ID, kind: "success"}
}

// RoundTrip implements http.RoundTripper.
func (s *answerSite) RoundTrip(req *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[req.URL.Host]
	h := t.header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if h.Get("Request-Id") == "" {
		h.Set("Request-Id", req.Header.Get("Request-Id"))
	}
	answer := func(status int, body string) (*http.Response, error) {
		return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}, nil
	}
	if req.Header.Get("Expect-Instance") != t.id {
		return answer(http.StatusMisdirectedRequest, "")
	}
	t.paths = append(t.paths, req.Header.Get("Hop-Count"))
	switch t.kind {
	case "refusal":
		h.Set("Not-Executed", "1")
		return answer(http.StatusServiceUnavailable, "")
	case "failure":
		h.Set("Response-Seal", "s")
		return answer(http.StatusInternalServerError, "")
	case "unmarked":
		h.Set("Response-Seal", "s")
		return answer(cmp.Or(t.status, http.StatusServiceUnavailable), "")
	case "misdirected":
		return answer(http.StatusMisdirectedRequest, "")
	}
	h.Set("Response-Seal", "s")
	return answer(http.StatusOK, "id: 1\ndata: x\n\n")
}

// call sends a request and describes its answer: the status, the targets that got
// the request, with returns=T whether the caller is to return between T and a second
// later, and how long it took unless it was answered at once.
func (s *answerSite) call(l script.Line) []string {
	s.sent++
	s.mu.Lock()
	before := map[string]int{}
	for address, t := range s.targets {
		before[address] = len(t.paths)
	}
	s.mu.Unlock()
	r := httptest.NewRequest(http.MethodGet, "http://site.example/"+l.Text("to")+"/x", nil)
	r.Header.Set("Request-Id", fmt.Sprint(s.sent))
	if l.Text("deadline") != "" {
		r.Header.Set("Deadline-Ms", fmt.Sprint(l.Duration("deadline").Milliseconds()))
	}
	w, start := httptest.NewRecorder(), time.Now()
	s.server.ServeHTTP(w, r)
	took := time.Since(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	var got []string
	for address, t := range s.targets {
		for _, path := range t.paths[before[address]:] {
			got = append(got, t.id+pathAfterFirst(path))
		}
	}
	slices.Sort(got)
	out := fmt.Sprintf("%d, sent to %s", w.Code, strings.Join(got, " "))
	if len(got) == 0 {
		out = fmt.Sprintf("%d, not sent", w.Code)
	}
	if w.Code >= http.StatusBadRequest && w.Header().Get("Response-Seal") != "" {
		out += ", sealed"
	}
	if earliest := l.Duration("returns"); earliest > 0 {
		after, err := time.ParseDuration(w.Header().Get("Retry-After") + "s")
		if err != nil || after < earliest-returnRounding || after > earliest+time.Second+returnRounding {
			s.t.Fatalf("return after %s (%v), want %s to a second more", after, err, earliest)
		}
		out += ", to return in time"
	}
	if took >= 10*time.Millisecond {
		out += fmt.Sprintf(", took %s", took.Round(50*time.Millisecond))
	}
	return []string{out}
}

// pathAfterFirst returns the addresses of a path after the first.
func pathAfterFirst(path string) string {
	out := ""
	for i, hop := range strings.Split(path, ",") {
		if address, _, _ := strings.Cut(hop, ":"); i > 0 {
			out += ">" + address
		}
	}
	return out
}

// Guards against requests, repeats, resumes, paths and polls to a target that has
// said in an answer that it leaves (DRAIN), whatever the list says and for as long as
// that incarnation lives; and against holding back another incarnation or instance.
// Also against requests to a target that has asked for a pause before it is over
// (BUDGET), callers that are kept waiting for one or told to return before it is over,
// and values that are no pause. And against callers that are promised that a request has
// not run although its target has only failed (REFUSED).
func TestAnswersOfTargets(t *testing.T) {
	script.RunInBubble(t, "testdata/answers/*.txtar", func(t *testing.T) func(script.Line) []string {
		s := newAnswerSite(t)
		return func(l script.Line) []string {
			switch l.Name {
			case "target":
				s.add(l)
			case "answers":
				target := s.targets[l.Text("id")+":1"]
				target.kind, target.status, target.header = l.Text("with"), l.Int("status"), http.Header{}
				for name, key := range map[string]string{
					"Server-Leaving": "leaving", "Request-Id": "request", "At-Server": "at", "Server-Limit": "limit", "Retry-After": "pause",
				} {
					if l.Text(key) != "" {
						target.header.Set(name, strings.ReplaceAll(l.Text(key), "_", " "))
					}
				}
			case "call":
				return s.call(l)
			case "metric":
				return []string{fmt.Sprint(s.server.Metrics.GetOrCreateCounter("shallotcourse_" + l.Text("name")).Get())}
			case "wait":
				time.Sleep(l.Duration("for"))
				s.confirm()
			case "outage":
				s.loseStore()
			case "restart":
				s.restart(l)
			case "list":
				s.list()
			case "polls":
				s.mu.Lock()
				defer s.mu.Unlock()
				return []string{fmt.Sprint(s.targets[l.Text("id")+":1"].polls)}
			default:
				t.Fatalf("unknown input %q", l.Name)
			}
			return nil
		}
	})
}
