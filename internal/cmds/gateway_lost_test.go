package cmds

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/platform/sims"
)

// Guards against a request that ends without an answer because its targets broke off
// after the head of their responses, of which the caller has received nothing.
func TestGatewayAnswersWhenTargetsBreakOffAfterTheHead(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		site.AddEngine(id, "x", testModel).SetLayers(0, 8).SetFaults(sims.EngineFaults{BreakHead: true})
	}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	for range 5 {
		a := g.get("/draft/x")
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusBadGateway)
		is.Equal(a.header.Get(fault.Header), string(fault.Unknown))
		is.Equal(a.header.Get("Response-Seal"), "")
	}
}

// Guards against streams that are cut off because their targets, which are sound,
// send nothing for a second.
func TestGatewayWaitsForSilentTargets(t *testing.T) {
	const want = "1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25 26 27 28 29 30"
	for _, c := range []struct {
		name    string
		targets int
		retries int
	}{{"no other target", 1, 100}, {"all targets", 4, 100}, {"no retries left", 4, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			engines := make([]*sims.Engine, c.targets)
			for i := range engines {
				engines[i] = site.AddEngine(string(rune('a'+i)), "x", sims.Model{Layers: 8, Token: 20 * time.Millisecond}).SetLayers(0, 8)
			}
			g := startGateway(t, "g1", store, func(s *conf.Gateway) {
				s.Repeats.Ratio, s.Repeats.Slack = 0, c.retries
			}).waitReady(t)
			answers := make(chan testResponse)
			for range 8 {
				go func() { answers <- g.get("/draft/x?events=30") }()
			}
			time.Sleep(200 * time.Millisecond)
			for _, e := range engines {
				e.FallSilent(time.Second)
			}
			for range 8 {
				a := <-answers
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
				is.Equal(eventIDs(a.body), want)
			}
		})
	}
}

// Guards against streams that leave a silent target for one that then refuses them,
// and are cut off although the silent one is sound.
func TestGatewayKeepsSilentTargetUntilAnotherAccepts(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults sims.EngineFaults
	}{
		{"refuses", sims.EngineFaults{NotRun: true}},
		{"fails", sims.EngineFaults{Status: http.StatusInternalServerError, Body: "failed"}},
		{"breaks off after the head", sims.EngineFaults{BreakHead: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			one := site.AddEngine("a", "x", sims.Model{Layers: 8, Token: 20 * time.Millisecond}).SetLayers(0, 8)
			g := startGateway(t, "g1", store, nil).waitReady(t)
			answer := make(chan testResponse)
			go func() { answer <- g.get("/draft/x?events=30") }()
			eventually(t, "the target has begun", func() bool { return one.Running() == 1 })
			two := site.AddEngine("b", "x", testModel)
			two.SetFaults(c.faults)
			two.SetLayers(0, 8)
			eventually(t, "the other target is listed", func() bool { return g.fleets.Section().Value().Len() == 4 })
			one.FallSilent(1200 * time.Millisecond)
			a := <-answer
			is.True(len(two.Arrivals()) > 0)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusOK)
			is.True(strings.HasSuffix(eventIDs(a.body), " 28 29 30"))
			is.Equal(a.header.Get("Response-Seal"), "seal-a")
		})
	}
}

// Guards against a stream that runs on more targets than its route allows, because
// targets that are sound but silent for longer than a second are taken for ended.
func TestGatewayCountsSilentTargetsOfAStream(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	engines := make([]*sims.Engine, 4)
	for i := range engines {
		engines[i] = site.AddEngine(string(rune('a'+i)), "x", sims.Model{Layers: 8, Token: 20 * time.Millisecond}).SetLayers(0, 8)
	}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	answer := make(chan testResponse)
	go func() { answer <- g.get("/draft/x?events=20") }()
	served := func() (n int) {
		for _, e := range engines {
			n += e.Served()
		}
		return n
	}
	for runs := 1; runs <= 2; runs++ {
		eventually(t, "a target has begun", func() bool { return served() == runs })
		time.Sleep(100 * time.Millisecond)
		for _, e := range engines {
			if e.Running() > 0 {
				e.FallSilent(1500 * time.Millisecond)
			}
		}
	}
	a := <-answer
	is.Equal(served(), 2)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.True(strings.HasSuffix(eventIDs(a.body), " 20"))
}

// Guards against an empty answer that looks complete, because the target's response
// had no length and its connection ended before the first event.
func TestGatewayDoesNotCompleteStreamsWithoutEvents(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	site.AddEngine("e1", "x", testModel).SetLayers(0, 8).SetFaults(sims.EngineFaults{Unframed: true})
	g := startGateway(t, "g1", store, nil).waitReady(t)
	a := g.get("/draft/x?events=0")
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusBadGateway)
}
