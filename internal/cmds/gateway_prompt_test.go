package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
	"shallotcourse/platform/sims"
)

const (
	// knownEverywhere is the time within which what a gateway knows has reached
	// all others (contactMs of the platform).
	knownEverywhere = 3 * time.Second
	crashingPart    = "bad0"
)

// soundCounts counts sound requests and those of them that were answered.
type soundCounts struct {
	mu             sync.Mutex
	sent, answered int
}

// take returns the share of answered requests since the last call.
func (c *soundCounts) take() (share float64, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share, sent = float64(c.answered)/float64(max(1, c.sent)), c.sent
	c.sent, c.answered = 0, 0
	return share, sent
}

// callEvery calls the gateways in turn, a request in each interval, until the
// context ends, and then waits for the answers.
func callEvery(ctx context.Context, interval time.Duration, gateways []*testGateway, prompt func(n int) string, counts *soundCounts) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		wg.Go(func() {
			a := gateways[n%len(gateways)].get("/draft/x?events=40", "Prompt-Prefix", prompt(n), "Token-Usage", "10,10")
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.sent++
			if a.err == nil && a.status == http.StatusOK {
				counts.answered++
			}
		})
	}
}

// promptSite is a site with gateways, and sound requests to them.
type promptSite struct {
	site     *sims.Site
	engines  []*sims.Engine
	gateways []*testGateway
	sound    soundCounts
}

// startPromptSite starts a site with 16 targets that hold all layers, and calls the
// gateways until the test ends. Requests share one of six first parts.
func startPromptSite(t *testing.T, gateways int) *promptSite {
	t.Helper()
	site, store, _ := testSite(t)
	s := &promptSite{site: site}
	for i := range 16 {
		s.engines = append(s.engines, site.AddEngine(fmt.Sprintf("e%02d", i), "x", sims.Model{Layers: 8, Token: 25 * time.Millisecond}).SetLayers(0, 8))
	}
	for i := range gateways {
		s.gateways = append(s.gateways, startGateway(t, fmt.Sprintf("g%02d", i), store, nil))
	}
	for _, g := range s.gateways {
		g.waitReady(t)
		eventually(t, "the gateway knows the others", func() bool { return g.gatewayCount.Load() == int64(gateways) && len(g.links.Peers()) > 0 })
	}
	s.call(t, 40*time.Millisecond, func(n int) string { return fmt.Sprintf("f%d:1,a%04x:9", n%6, n) }, &s.sound)
	return s
}

// call calls the gateways until the test ends.
func (s *promptSite) call(t *testing.T, interval time.Duration, prompt func(n int) string, counts *soundCounts) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { callEvery(ctx, interval, s.gateways, prompt, counts) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// Guards against requests with one part in their prompts that end one target
// after another, because no gateway remembers it or tells the others (BUDGET),
// and against sound requests that are refused with them (LOST). The sound ones
// share the account, the route and the first part.
func TestGatewayPromptPartThatEndsTargets(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
	}{{"mesh", 5}, {"groups", 12}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startPromptSite(t, c.gateways)
			time.Sleep(3 * time.Second)
			before, _ := s.sound.take()

			s.site.SetCrashingPart(crashingPart)
			s.call(t, 300*time.Millisecond, func(n int) string { return fmt.Sprintf("f%d:1,%s:4,b%04x:9", n%6, crashingPart, n) }, &soundCounts{})
			time.Sleep(2 * knownEverywhere)
			s.sound.take()
			time.Sleep(knownEverywhere)
			after, sent := s.sound.take()

			a := s.gateways[0].get("/draft/x", "Prompt-Prefix", "f9:1,"+crashingPart+":4,c:9")
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.Equal(a.header.Get(fault.Header), string(fault.NotRun))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(seconds > 60) // returning sooner is of no use
			for _, g := range s.gateways {
				is.True(strings.Contains(g.showStatus(t), crashingPart))
			}

			arrivals, crashes := s.site.Crashes()
			late := 0
			for _, at := range arrivals {
				if len(crashes) >= 5 && at.After(crashes[4].Add(knownEverywhere)) {
					late++
				}
			}
			t.Logf("%d requests reached targets, %d targets crashed, %d arrivals too late; sound requests answered: %.2f before, %.2f after (%d)",
				len(arrivals), len(crashes), late, before, after, sent)
			is.True(len(crashes) >= 2) // the part has crashed targets
			is.True(late <= 3)
			is.True(after >= before/2)
		})
	}
}

// Guards against a part that ends one target after another and is not held because
// requests with it survived long ago, and still go on (BUDGET).
func TestGatewayRequestSpeaksForItsPartsOnce(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	site.AddEngine("e0", "x", sims.Model{Layers: 8, Token: 25 * time.Millisecond}).SetLayers(0, 8)
	g := startGateway(t, "g0", store, nil)
	g.waitReady(t)
	g.prompts.Ended(topo.Target{ID: "t1"}, []string{"f2", "doc", "b"})
	isRunning := func() bool {
		_, ok := g.prompts.NewReporter().Report(false).Running["doc"]
		return ok
	}
	is.True(!isRunning())

	ended := make(chan testResponse)
	go func() {
		ended <- g.get("/draft/x?events=110", "Prompt-Prefix", "f1:1,doc:4,a:9", "Token-Usage", "10,110")
	}()
	eventually(t, "the request is being answered", isRunning)
	eventually(t, "the request has survived", func() bool { return !isRunning() })
	_, survived := g.prompts.FullReport().Survivals["doc"]
	is.True(survived)
	select {
	case <-ended:
		t.Fatal("the request counted as running until its end")
	default:
	}
	is.Equal((<-ended).status, http.StatusOK)
}

// Guards against sound requests that are refused because of their prompts while
// targets end for reasons of their own: many at once, then one after another, each
// with requests in flight that it had just begun (LOST).
func TestGatewayHoldsNothingWhenTargetsAreLost(t *testing.T) {
	is := is.New(t)
	s := startPromptSite(t, 5)
	time.Sleep(time.Second)
	for _, e := range s.engines[:6] {
		go e.Crash()
	}
	for _, e := range s.engines[6:12] {
		time.Sleep(400 * time.Millisecond)
		go e.Crash()
	}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		for _, g := range s.gateways {
			is.Equal(len(g.prompts.Holds()), 0)
		}
	}
	share, sent := s.sound.take()
	t.Logf("%d sound requests, answered: %.2f", sent, share)
	is.True(share >= 0.5) // half as often as before, at least
}
