package cmds

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// countFrom returns the number of the times that are not before from.
func countFrom(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// Guards against requests to targets that have said in their answers that they
// leave, from gateways that they said it to and others, while the list says that
// they are ready, is frozen because the store is away, or is read anew (DRAIN); and
// against a new incarnation under the same ID that is held back.
func TestGatewayLeavesLeavingTargetsAlone(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
		store    sims.StoreFaults
	}{
		{"the list lags", 5, sims.StoreFaults{}},
		{"the store is away", 5, sims.StoreFaults{Status: 503}},
		{"groups", 12, sims.StoreFaults{}},
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
			engine, plain := s.engines[0], s.plain[0]
			s.site.Store.SetFaults(c.store)
			engine.SetFaults(sims.EngineFaults{Leaving: true})
			plain.SetFaults(sims.ServiceFaults{Leaving: true})
			time.Sleep(knownEverywhere)
			known := time.Now()
			s.mu.Lock()
			s.streams, s.calls, s.answeredStreams, s.answeredCalls = 0, 0, 0, 0
			s.mu.Unlock()
			time.Sleep(1500 * time.Millisecond)
			s.site.Store.SetFaults(sims.StoreFaults{})
			engine.WriteRow("ready") // a heartbeat
			time.Sleep(1500 * time.Millisecond)
			streams, calls := countFrom(engine.Arrivals(), known), countFrom(plain.Arrivals(), known)
			cancel()
			wg.Wait()
			t.Logf("%d streams and %d calls sent to targets that leave; answered %d of %d streams, %d of %d calls",
				streams, calls, s.answeredStreams, s.streams, s.answeredCalls, s.calls)
			is.Equal(streams, 0)
			is.Equal(calls, 0)
			if c.store == (sims.StoreFaults{}) { // keys are refused while it is away for long
				is.True(s.answeredStreams >= s.streams*95/100)
				is.True(s.answeredCalls >= s.calls*95/100)
			}
			status := s.gateways[1].showStatus(t)
			is.True(strings.Contains(status, "LEAVING TARGETS"))
			is.Equal(strings.Count(status, "e0 "), 2) // among the targets and those that leave

			engine.SetFaults(sims.EngineFaults{})
			engine.Kill()
			engine.Restart()
			engine.SetLayers(0, 8)
			restarted := time.Now()
			eventually(t, "the new incarnation is used", func() bool {
				for _, g := range s.gateways {
					g.get("/draft/x?events=1")
				}
				return countFrom(engine.Arrivals(), restarted) > 0
			})
			eventually(t, "the old one is forgotten", func() bool { return len(s.gateways[1].limits.Leaving()) == 1 })
		})
	}
}

// Guards against a stream that is disturbed because its first target has said that it
// leaves, and against a change of path that is ordered there where the stream can
// resume elsewhere.
func TestGatewayEndsStreamsAtLeavingTargets(t *testing.T) {
	for _, c := range []struct {
		name      string
		inject    func(second *sims.Engine)
		elsewhere int
	}{
		{"it ends in peace", func(*sims.Engine) {}, 0},
		{"the second target dies", (*sims.Engine).Kill, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			var engines []*sims.Engine
			for i, r := range [][2]int{{0, 4}, {0, 4}, {4, 8}, {4, 8}} {
				e := site.AddEngine(fmt.Sprintf("e%d", i), "x", sims.Model{Layers: 8, Token: 25 * time.Millisecond})
				engines = append(engines, e.SetLayers(r[0], r[1]))
			}
			g := startGateway(t, "g1", store, nil).waitReady(t)
			first, second := engines[0], engines[2]
			first.SetFaults(sims.EngineFaults{Leaving: true})
			go func() {
				for first.Running() == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				c.inject(second)
			}()
			a := g.get("/draft/x?events=30")
			is.NoErr(a.err)
			is.Equal(strings.Count(a.body, "id: "), 30)
			is.Equal(first.Served(), 1)
			is.Equal(engines[1].Served(), c.elsewhere)
			is.Equal(len(first.Orders()), 0)
		})
	}
}
