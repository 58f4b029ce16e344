package cmds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fakes/relay"
	"shallotcourse/platform/sims"
)

const (
	testKey = "key-1"
	// eventuallyTimeout bounds the wait for a condition that takes several
	// polls of the store.
	eventuallyTimeout = 10 * time.Second
)

var testModel = sims.Model{Layers: 8, Token: 5 * time.Millisecond}

// testGateway is a gateway on loopback addresses.
type testGateway struct {
	*gatewayDaemon
	url string
}

// startGateway runs a gateway in this process until the test ends.
func startGateway(t *testing.T, name, store string, change func(*conf.Gateway)) *testGateway {
	t.Helper()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	links, callers := listen(), listen()
	settings := conf.DefaultGateway()
	settings.Instance, settings.DataCentre, settings.Store = name, "x", store
	settings.Advertise = links.Addr().String()
	settings.FirstStart = true
	if change != nil {
		change(&settings)
	}
	g := newGateway("", settings, io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){g.configs.Run, g.fleets.Run, g.peers.Run, g.members.Run, g.planner.Run} {
		wg.Go(func() { run(ctx) })
	}
	servers := []*http.Server{{Handler: linkRouter(g.links)}, {Handler: g.server}}
	for i, l := range []net.Listener{links, callers} {
		go func() { _ = servers[i].Serve(l) }()
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			_ = s.Close()
		}
		g.links.Stop()
		wg.Wait()
	})
	return &testGateway{g, "http://" + callers.Addr().String()}
}

// testSite returns a site with two plain targets and a configuration.
func testSite(t *testing.T) (*sims.Site, string, []*sims.Service) {
	t.Helper()
	site := sims.NewSite()
	t.Cleanup(site.Close)
	address, _ := site.Serve(site.Store)
	site.WriteConfig(testKey)
	return site, address, []*sims.Service{site.AddService("p1", "x"), site.AddService("p2", "y")}
}

type testResponse struct {
	status int
	header http.Header
	body   string
	err    error
	// unframed is true if the body had neither a length nor chunks.
	unframed bool
}

var requestNumber struct {
	sync.Mutex
	n int
}

func requestID() string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.n++
	return fmt.Sprintf("r%04d", requestNumber.n)
}

// call sends a request. headers alternates names and values.
func (g *testGateway) call(ctx context.Context, method, path, id, body string, headers ...string) testResponse {
	req, err := http.NewRequestWithContext(ctx, method, g.url+path, strings.NewReader(body))
	if err != nil {
		return testResponse{err: err}
	}
	req.Host = "site.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Deadline-Ms", "4000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return testResponse{resp.StatusCode, resp.Header, string(b), err, resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
}

func (g *testGateway) get(path string, headers ...string) testResponse {
	return g.call(context.Background(), http.MethodGet, path, requestID(), "", headers...)
}

// eventually waits until f returns true, and fails the test otherwise.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within %s: %s", eventuallyTimeout, what)
}

func (g *testGateway) waitReady(t *testing.T) *testGateway {
	t.Helper()
	eventually(t, "the gateway is ready", func() bool { return g.ready() == nil && g.fleets.Section().Value().Len() > 1 })
	return g
}

// eventIDs returns the event IDs of a stream in order, separated by spaces.
func eventIDs(body string) string {
	var ids []string
	for s := bufio.NewScanner(strings.NewReader(body)); s.Scan(); {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, " ")
}

// Guards against requests that fail in a system without faults: layers are
// placed, streams are complete, responses of plain services are those of the
// target, and only headers that callers may set reach a target.
func TestGatewayCalmDay(t *testing.T) {
	is := is.New(t)
	site, store, plain := testSite(t)
	engines := []*sims.Engine{site.AddEngine("e1", "x", testModel), site.AddEngine("e2", "x", testModel)}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	eventually(t, "all layers are placed", func() bool {
		from1, to1 := engines[0].Layers()
		from2, to2 := engines[1].Layers()
		return to1-from1+to2-from2 >= 8
	})
	var a testResponse
	eventually(t, "a stream is served", func() bool { a = g.get("/draft/x?events=9"); return a.status == http.StatusOK })
	is.NoErr(a.err)
	is.Equal(eventIDs(a.body), "1 2 3 4 5 6 7 8 9")
	is.True(strings.HasPrefix(a.header.Get("Response-Seal"), "seal-e"))

	id := requestID()
	a = g.call(context.Background(), http.MethodPost, "/register/a%20b?q=%2F", id, "body", "Tenant-Id", "forged", "Request-Priority", "0")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "POST /register/a%20b?q=%2F body")
	is.Equal(a.header.Get("Request-Id"), id)
	seen := plain[0].LastHeader()
	if seen == nil {
		seen = plain[1].LastHeader()
	}
	is.Equal(seen.Get("Tenant-Id"), "acme")
	is.Equal(seen.Get("Authorization"), "")
	is.Equal(seen.Get("Request-Priority"), "")
	is.True(seen.Get("Deadline-Ms") != "")

	is.Equal(g.get("/look/x", "Authorization", "Bearer other").status, http.StatusUnauthorized)
	is.Equal(g.get("/open/x", "Authorization", "").status, http.StatusOK)
	is.Equal(g.get("/nothing/x").status, http.StatusNotFound)
	is.Equal(g.get("/look/x").status, http.StatusOK)
}

// showStatus returns what the status command prints of the gateway.
func (g *testGateway) showStatus(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(g.status))
	defer server.Close()
	root, out := NewRoot(), &strings.Builder{}
	root.SetArgs([]string{"gateway", "status", server.Listener.Addr().String()})
	root.SetOut(out)
	if err := root.Execute(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Guards against a status that omits routes, placement or load.
func TestGatewayStatus(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	e := site.AddEngine("e1", "x", testModel)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	eventually(t, "the layers are listed", func() bool {
		target, _ := g.fleets.Section().Value().Target("e1")
		from, to := e.Layers()
		return to-from == 8 && target.Held.Len() == 8
	})
	status := g.showStatus(t)
	for _, want := range []string{"/register/", "once", "plain:1", "e1", "0-8", "hole", "ready", "BINDING", "CROSSING COST", "RANKED SERVICE"} {
		is.True(strings.Contains(status, want)) // want
	}
	root := NewRoot()
	root.SetArgs([]string{"gateway", "status", "127.0.0.1:1"})
	is.True(root.Execute() != nil)
}

// Guards against a non-repeatable request that runs twice, and against an error
// status that misstates whether it ran.
func TestGatewayRunsOnce(t *testing.T) {
	site, store, plain := testSite(t)
	_ = site
	g := startGateway(t, "g1", store, nil).waitReady(t)
	for _, c := range []struct {
		name   string
		one    sims.ServiceFaults
		both   bool
		status int
		runs   int
	}{
		{"lost answers", sims.ServiceFaults{LoseAnswers: true}, true, http.StatusBadGateway, 1},
		{"one refuses", sims.ServiceFaults{NotRun: true}, false, http.StatusOK, 1},
		{"all refuse", sims.ServiceFaults{NotRun: true}, true, http.StatusServiceUnavailable, 0},
		{"failure of the target", sims.ServiceFaults{Fail: true}, true, http.StatusInternalServerError, 1},
		{"answer of another request", sims.ServiceFaults{OtherID: true}, true, http.StatusBadGateway, 1},
		{"refusal of another request", sims.ServiceFaults{StaleRefusal: http.StatusServiceUnavailable}, true, http.StatusBadGateway, 1},
		{"421 of another request", sims.ServiceFaults{StaleRefusal: http.StatusMisdirectedRequest}, true, http.StatusBadGateway, 1},
		{"429 of another request", sims.ServiceFaults{StaleRefusal: http.StatusTooManyRequests}, true, http.StatusBadGateway, 1},
		{"broken answer", sims.ServiceFaults{Short: true}, true, http.StatusBadGateway, 1},
		{"no answer in time", sims.ServiceFaults{Delay: 3500 * time.Millisecond}, true, http.StatusGatewayTimeout, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plain[0].SetFaults(c.one)
			plain[1].SetFaults(sims.ServiceFaults{})
			if c.both {
				plain[1].SetFaults(c.one)
			}
			for range 3 {
				id := requestID()
				a := g.call(context.Background(), http.MethodPost, "/register/x", id, "body")
				is.NoErr(a.err)
				is.Equal(a.status, c.status)
				is.Equal(plain[0].Runs(id)+plain[1].Runs(id), c.runs)
				if c.status == http.StatusServiceUnavailable {
					is.True(a.header.Get("Retry-After") != "")
				}
			}
		})
	}
}

// Guards against repeatable requests that fail although another target works.
func TestGatewayRepeatsWhatMayBeRepeated(t *testing.T) {
	_, store, plain := testSite(t)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	for name, f := range map[string]sims.ServiceFaults{
		"refused": {NotRun: true}, "failed": {Fail: true}, "lost": {LoseAnswers: true}, "short": {Short: true},
		"other": {OtherID: true}, "silent": {Delay: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, bad := range []int{0, 1} {
				plain[bad].SetFaults(f)
				plain[1-bad].SetFaults(sims.ServiceFaults{})
				a := g.get("/look/" + name)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
				is.Equal(a.body, "GET /look/"+name+" ")
			}
		})
	}
}

// Guards against streams with a missing, repeated or merged event after a
// target of their chain is lost.
func TestGatewayRecoversStreams(t *testing.T) {
	const want = "1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25 26 27 28 29 30"
	for _, c := range []struct {
		name   string
		inject func(first, second *sims.Engine)
	}{
		{"the first target breaks off inside an event", nil},
		{"the first target dies", func(first, _ *sims.Engine) { first.Kill() }},
		{"the second target dies", func(_, second *sims.Engine) { second.Kill() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			ranges := [][2]int{{0, 4}, {0, 4}, {4, 8}, {4, 8}}
			engines := make([]*sims.Engine, len(ranges))
			for i, r := range ranges {
				engines[i] = site.AddEngine(fmt.Sprintf("e%d", i), "x", sims.Model{Layers: 8, Token: 25 * time.Millisecond}).SetLayers(r[0], r[1])
			}
			g := startGateway(t, "g1", store, nil).waitReady(t)
			first := engines[0]
			if c.inject == nil {
				first.SetFaults(sims.EngineFaults{BreakAfter: 4})
			} else {
				go func() {
					for first.Running() == 0 {
						time.Sleep(5 * time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
					c.inject(first, engines[2])
				}()
			}
			a := g.get("/draft/x?events=30")
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusOK)
			is.Equal(eventIDs(a.body), want)
			is.Equal(first.Served(), 1) // the stream started there
		})
	}
}

// Guards against a stream that runs on more targets than its route allows,
// because a target that only breaks off its responses is taken for one that no
// longer runs the stream.
func TestGatewayCountsTargetsOfAStream(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	engines := make([]*sims.Engine, 5)
	for i := range engines {
		engines[i] = site.AddEngine(fmt.Sprintf("e%d", i), "x", sims.Model{Layers: 8, Token: 40 * time.Millisecond}).SetLayers(0, 8)
		engines[i].SetFaults(sims.EngineFaults{BreakAfter: 1})
	}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// Targets that run the stream are suspected for another reason, but work.
		for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			for _, e := range engines {
				if target, ok := g.fleets.Section().Value().Target(e.ID); ok && e.Running() > 0 {
					g.ledger.RecordFailure(target)
				}
			}
		}
	}()
	a := g.get("/draft/x?events=9")
	is.True(a.err != nil) // aborted, and not taken for complete
	served := 0
	for _, e := range engines {
		served += e.Served()
	}
	is.True(served <= 2)
}

// Guards against a refusal of a stream that hides that it ran, and against
// callers that are kept waiting for layers that no target holds.
func TestGatewayRefusesStreams(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	e := site.AddEngine("e1", "x", testModel).SetLayers(0, 4)
	g := startGateway(t, "g1", store, func(s *conf.Gateway) { s.FirstStart = false }).waitReady(t)
	start := time.Now()
	a := g.get("/draft/x")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.True(time.Since(start) < time.Second)
	e.SetLayers(0, 8)
	eventually(t, "the layers are listed", func() bool { return g.get("/draft/x").status == http.StatusOK })
	e.SetFaults(sims.EngineFaults{NotRun: true})
	served := e.Served()
	is.Equal(g.get("/draft/x").status, http.StatusServiceUnavailable)
	is.Equal(e.Served(), served)
}

// Guards against targets that keep working for callers that have disconnected.
func TestGatewayFollowsCallersThatLeave(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	e := site.AddEngine("e1", "x", sims.Model{Layers: 8, Token: 20 * time.Millisecond}).SetLayers(0, 8)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan testResponse)
	go func() { done <- g.call(ctx, http.MethodGet, "/draft/x?events=400", requestID(), "") }()
	eventually(t, "the stream runs", func() bool { return e.Running() == 1 })
	cancel()
	<-done
	left := time.Now()
	eventually(t, "the target stops", func() bool { return e.Running() == 0 })
	is.True(time.Since(left) < 500*time.Millisecond)
}

// Guards against keys that stay valid although the configuration has not been
// confirmed for KeyLife, and against a gateway without the store that refuses
// all keys although another gateway can confirm the configuration.
func TestGatewayKeys(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	storeRelay, err := relay.Start("127.0.0.1:0", store)
	is.NoErr(err)
	defer storeRelay.Close()
	short := func(s *conf.Gateway) { s.KeyLife = conf.Duration{Duration: 4 * time.Second} }
	isolated := startGateway(t, "g1", storeRelay.Address(), short).waitReady(t)
	other := startGateway(t, "g2", store, short).waitReady(t)
	eventually(t, "the gateways are linked", func() bool { return len(isolated.links.Peers()) > 0 && len(other.links.Peers()) > 0 })
	is.Equal(isolated.get("/look/x").status, http.StatusOK)

	storeRelay.RefuseNew(true)
	storeRelay.Cut()
	// Longer than KeyLife, for which keys are valid without confirmation.
	for range 30 {
		is.Equal(isolated.get("/look/x").status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
	}
	site.WriteConfig("key-2")
	revoked := time.Now()
	eventually(t, "the key is refused at the other gateway", func() bool { return other.get("/look/x").status == http.StatusUnauthorized })
	eventually(t, "the key is refused at the gateway without the store", func() bool { return isolated.get("/look/x").status == http.StatusUnauthorized })
	is.True(time.Since(revoked) < 4*time.Second)
	is.Equal(isolated.get("/look/x", "Authorization", "Bearer key-2").status, http.StatusOK)

	site.Store.SetFaults(sims.StoreFaults{Status: http.StatusServiceUnavailable})
	eventually(t, "keys are refused without confirmation", func() bool {
		a := other.get("/look/x", "Authorization", "Bearer key-2")
		return a.status == http.StatusServiceUnavailable
	})
	is.Equal(other.get("/open/x", "Authorization", "").status, http.StatusOK) // needs no key
	site.Store.SetFaults(sims.StoreFaults{})
	eventually(t, "keys are valid again", func() bool { return other.get("/look/x", "Authorization", "Bearer key-2").status == http.StatusOK })
}

// Guards against a change that is missed when the store has dropped its
// history.
func TestGatewayLostHistory(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	site.Store.Delete("servers", "p2")
	site.Store.ForgetHistory()
	version := site.WriteConfig("key-2")
	eventually(t, "the new configuration is in force", func() bool { return g.configs.Section().Value().Version == version })
	eventually(t, "the target is removed from the list", func() bool { return g.fleets.Section().Value().Len() == 1 })
	is.Equal(g.get("/look/x", "Authorization", "Bearer key-2").status, http.StatusOK)
}

// Guards against a malformed row that affects other rows.
func TestGatewayMalformedRows(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	before := g.configs.Section().Value().Version
	site.Store.Put("op", "config", []byte("{"))
	site.Store.Put("servers", "bad1", []byte{0xff, 0x00})
	site.Store.PutJSON("servers", "bad2", map[string]any{"service": 5})
	site.Store.PutJSON("servers", "bad3", map[string]any{"service": "plain", "address": "nowhere", "state": "ready"})
	site.Store.PutJSON("servers", "bad4", map[string]any{"service": "plain", "address": "127.0.0.1:1", "state": "resting"})
	good := site.AddService("p3", "x")
	eventually(t, "the good row is read", func() bool { return g.fleets.Section().Value().Len() == 3 })
	is.Equal(g.configs.Section().Value().Version, before)
	_, listed := g.fleets.Section().Value().Target(good.ID)
	is.True(listed)
	is.Equal(g.get("/look/x").status, http.StatusOK)
}

// Guards against a stop that aborts responses, or that keeps accepting callers.
func TestGatewayStops(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	site.AddEngine("e1", "x", sims.Model{Layers: 8, Token: 20 * time.Millisecond}).SetLayers(0, 8)
	g := startGateway(t, "g1", store, func(s *conf.Gateway) { s.StopTimeout = conf.Duration{Duration: 6 * time.Second} }).waitReady(t)
	done := make(chan testResponse)
	go func() { done <- g.get("/draft/x?events=40") }()
	eventually(t, "the stream runs", func() bool { return g.server.OpenRequests() == 1 })
	stopped := make(chan struct{})
	start := time.Now()
	go func() { g.drain(); close(stopped) }()
	eventually(t, "the check fails", func() bool { return g.ready() != nil })
	req, err := http.NewRequest(http.MethodGet, g.url+"/open/x", nil)
	is.NoErr(err)
	req.Host = "site.example"
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK) // sent by a caller that has not noticed the stop
	is.True(resp.Close)                      // the response closes the connection
	is.NoErr(resp.Body.Close())
	a := <-done
	is.NoErr(a.err)
	is.True(strings.HasSuffix(eventIDs(a.body), " 40"))
	eventually(t, "new requests are refused", func() bool { return g.get("/look/x").status == http.StatusServiceUnavailable })
	<-stopped
	is.True(time.Since(start) < 6*time.Second)
	is.Equal(string(site.Store.Value("gateways", "g1")), "") // the row is deleted
}

// Guards against two planners at a time, and against none after the planner has
// stopped.
func TestGatewayPlannerMoves(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	one := startGateway(t, "g1", store, nil).waitReady(t)
	two := startGateway(t, "g2", store, nil).waitReady(t)
	receivedPlan := func(g *testGateway) bool { term, _ := g.peers.OtherPlanner(); return !term.IsZero() }
	eventually(t, "one of the two receives the plan of the other", func() bool { return receivedPlan(one) != receivedPlan(two) })
	planner := one
	if receivedPlan(one) {
		planner = two
	}
	planner.drain()
	e := site.AddEngine("e1", "x", testModel)
	eventually(t, "the other gateway places layers", func() bool {
		from, to := e.Layers()
		return to-from == 8
	})
	is.Equal(len(e.Orders()), 1)
}
