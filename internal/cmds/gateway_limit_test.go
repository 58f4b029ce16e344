package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// limitWindow is the window in which a target counts its requests.
const limitWindow = 4 * time.Second

// mostWithin returns the largest number of the times from some time on that lie
// within a window of the given length.
func mostWithin(times []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for first < i && (times[first].Before(from) || at.Sub(times[first]) > window) {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// limitedSite is a site whose targets can name limits, with traffic on it.
type limitedSite struct {
	site     *sims.Site
	engines  []*sims.Engine
	plain    []*sims.Service
	gateways []*testGateway
	// longest is the longest time that a refused request took.
	mu      sync.Mutex
	longest time.Duration
	streams, calls,
	answeredStreams, answeredCalls int
}

func startLimitedSite(t *testing.T, gateways int) *limitedSite {
	t.Helper()
	site, store, plain := testSite(t)
	s := &limitedSite{site: site, plain: plain}
	for i := range 4 {
		s.engines = append(s.engines, site.AddEngine(fmt.Sprintf("e%d", i), "x", testModel).SetLayers(0, 8))
	}
	for i := range gateways {
		s.gateways = append(s.gateways, startGateway(t, fmt.Sprintf("g%02d", i), store, nil))
	}
	for _, g := range s.gateways {
		g.waitReady(t)
		eventually(t, "the gateway knows the others", func() bool { return g.gatewayCount.Load() == int64(gateways) && len(g.links.Peers()) > 0 })
	}
	return s
}

// callAll sends streams and plain calls to all gateways in turn until the context
// ends.
func (s *limitedSite) callAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticks := time.NewTicker(25 * time.Millisecond)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		wg.Go(func() {
			path := "/draft/x?events=4"
			if n%2 == 1 {
				path = "/look/x"
			}
			start := time.Now()
			a := s.gateways[n/2%len(s.gateways)].get(path)
			s.mu.Lock()
			defer s.mu.Unlock()
			answered := a.err == nil && a.status == http.StatusOK
			if !answered {
				s.longest = max(s.longest, time.Since(start))
			}
			s.count(n%2 == 0, answered)
		})
	}
}

func (s *limitedSite) count(stream, answered bool) {
	one := 0
	if answered {
		one = 1
	}
	if stream {
		s.streams, s.answeredStreams = s.streams+1, s.answeredStreams+one
		return
	}
	s.calls, s.answeredCalls = s.calls+1, s.answeredCalls+one
}

// Guards against targets that get more than one and a half times the requests
// that the limit which they named allows, and five, within four seconds, summed
// over all gateways (LIMIT); against requests that are refused although other
// targets have no limit; and against callers that are kept waiting where all
// targets have one.
func TestGatewayKeepsToNamedLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
		// engines and plain are the limits of the targets.
		engines, plain []float64
	}{
		{"some targets", 5, []float64{2, 1}, []float64{3}},
		{"all targets", 5, []float64{2, 1, 3, 0.5}, []float64{3, 1}},
		{"all targets, groups", 12, []float64{2, 1, 3, 1}, []float64{4, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startLimitedSite(t, c.gateways)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { s.callAll(ctx) })
			defer wg.Wait()
			defer cancel()
			time.Sleep(time.Second)
			for i, l := range c.engines {
				s.engines[i].SetFaults(sims.EngineFaults{Limit: strconv.FormatFloat(l, 'f', -1, 64)})
			}
			for i, l := range c.plain {
				s.plain[i].SetFaults(sims.ServiceFaults{Limit: strconv.FormatFloat(l, 'f', -1, 64)})
			}
			named := time.Now()
			time.Sleep(knownEverywhere)
			s.mu.Lock()
			s.longest, s.streams, s.calls, s.answeredStreams, s.answeredCalls = 0, 0, 0, 0, 0
			s.mu.Unlock()
			time.Sleep(limitWindow + 2*time.Second)
			cancel()
			wg.Wait()
			all := len(c.engines) == len(s.engines)
			check := func(target string, arrivals []time.Time, limit float64) {
				most, allowed := mostWithin(arrivals, named.Add(knownEverywhere), limitWindow), 1.5*limit*limitWindow.Seconds()+5
				t.Logf("%s: limit %g a second, %d requests in %s, %g allowed", target, limit, most, limitWindow, allowed)
				is.True(float64(most) <= allowed) // requests within the limit
				is.True(most > 0 || !all)         // the limit is used where there is no other target
			}
			for i, l := range c.engines {
				check(s.engines[i].ID, s.engines[i].Arrivals(), l)
			}
			for i, l := range c.plain {
				check(s.plain[i].ID, s.plain[i].Arrivals(), l)
			}
			t.Logf("answered %d of %d streams, %d of %d calls; refused at the latest after %s", s.answeredStreams, s.streams, s.answeredCalls, s.calls,
				s.longest)
			if !all {
				is.True(s.answeredStreams >= s.streams*95/100)
				is.True(s.answeredCalls >= s.calls*95/100)
			}
			is.True(s.longest < time.Second) // refused in time
		})
	}
}
