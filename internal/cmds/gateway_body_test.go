package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
	"shallotcourse/platform/sims"
)

// Guards against a body with missing bytes whose Content-Length hides that,
// because two goroutines read the response of a target.
func TestGatewayPassesOnWholeBodies(t *testing.T) {
	const requests = 20
	for _, status := range []int{http.StatusBadRequest, http.StatusNoContent, http.StatusTeapot} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			body := strings.Repeat("0123456789", 10_000)
			if status == http.StatusNoContent {
				body = ""
			}
			site.AddEngine("e1", "x", testModel).SetLayers(0, 8).SetFaults(sims.EngineFaults{Status: status, Body: body})
			g := startGateway(t, "g1", store, nil).waitReady(t)
			answers := make([]testResponse, requests)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() { answers[i] = g.get("/draft/x") })
			}
			wg.Wait()
			for _, a := range answers {
				is.NoErr(a.err)
				is.Equal(a.status, status)
				is.Equal(len(a.body), len(body))
				is.True(a.body == body)
			}
		})
	}
}

// Guards against a stream that never ends because its target sends a byte or a
// comment now and then, and against a cut of one that is slow but sound.
func TestGatewayFollowsProgress(t *testing.T) {
	stallLimit := func(s *conf.Gateway) { s.StallLimit = conf.Duration{Duration: 1500 * time.Millisecond} }
	for name, body := range map[string]string{"bytes": "x", "comments": ": still here\n\n", "half an event": "data: half\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			for _, id := range []string{"e1", "e2"} {
				e := site.AddEngine(id, "x", testModel).SetLayers(0, 8)
				if id == "e1" {
					e.SetFaults(sims.EngineFaults{StallAfter: 3, Body: body, EndlessPause: 100 * time.Millisecond})
				}
			}
			g := startGateway(t, "g1", store, stallLimit).waitReady(t)
			start := time.Now()
			a := g.get("/draft/x?events=9", "Deadline-Ms", "9000")
			is.NoErr(a.err)
			is.Equal(eventIDs(a.body), "1 2 3 4 5 6 7 8 9") // continued at the other target
			is.True(time.Since(start) < 5*time.Second)
		})
	}
	t.Run("slow but sound", func(t *testing.T) {
		is := is.New(t)
		site, store, _ := testSite(t)
		e := site.AddEngine("e1", "x", sims.Model{Layers: 8, Token: 600 * time.Millisecond}).SetLayers(0, 8)
		g := startGateway(t, "g1", store, stallLimit).waitReady(t)
		a := g.get("/draft/x?events=4")
		is.NoErr(a.err)
		is.Equal(eventIDs(a.body), "1 2 3 4")
		is.Equal(e.Served(), 1) // never sent again
	})
}

// Guards against a stream with neither a length nor chunks that is taken for
// complete although its connection ended inside an event, and against a refusal
// of one that is whole.
func TestGatewayPassesOnUnframedStreams(t *testing.T) {
	for _, torn := range []bool{false, true} {
		t.Run(fmt.Sprintf("torn=%t", torn), func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			engines := []*sims.Engine{site.AddEngine("e1", "x", testModel).SetLayers(0, 8), site.AddEngine("e2", "x", testModel).SetLayers(0, 8)}
			engines[0].SetFaults(sims.EngineFaults{Unframed: true, Torn: torn})
			g := startGateway(t, "g1", store, nil).waitReady(t)
			for range 4 {
				a := g.get("/draft/x?events=9")
				is.NoErr(a.err)
				is.Equal(eventIDs(a.body), "1 2 3 4 5 6 7 8 9")
			}
			is.True(engines[0].Served() > 0)
			engines[1].SetFaults(sims.EngineFaults{Unframed: true, Torn: torn})
			a := g.get("/draft/x?events=30")
			is.Equal(a.err != nil, torn) // broken off, and not complete
		})
	}
}

// Guards against requests that outlive their deadline, and against memory that
// grows with the response, because a target sends a body without end.
func TestGatewayEndsBodiesWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults sims.EngineFaults
	}{
		{"error, fast", sims.EngineFaults{Status: http.StatusBadRequest, Body: strings.Repeat("x", 64<<10)}},
		{"error, one byte now and then", sims.EngineFaults{Status: http.StatusBadRequest, Body: "x", EndlessPause: 200 * time.Millisecond}},
		{"one endless event, fast", sims.EngineFaults{Status: http.StatusOK, Body: strings.Repeat("x", 64<<10)}},
		{"one endless event, one byte now and then", sims.EngineFaults{Status: http.StatusOK, Body: "x", EndlessPause: 200 * time.Millisecond}},
		{"comments now and then", sims.EngineFaults{Status: http.StatusOK, Body: ": still here\n\n", EndlessPause: 200 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			e := site.AddEngine("e1", "x", testModel).SetLayers(0, 8)
			c.faults.Endless = true
			e.SetFaults(c.faults)
			g := startGateway(t, "g1", store, nil).waitReady(t)
			start := time.Now()
			a := g.get("/draft/x", "Deadline-Ms", "1500")
			is.True(time.Since(start) < 2*time.Second)
			is.True(a.err != nil || a.status >= http.StatusBadGateway) // does not look complete
			eventually(t, "the target stops", func() bool { return e.Running() == 0 })
		})
	}
}
