package cmds

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// Guards against changes of a path that are refused again and again after the
// loss of a target, because the substitutes have no room: each stream would send
// the same order until it may send no more.
func TestGatewayLeavesFullSubstitutes(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	ranges := [][2]int{{0, 4}, {4, 8}, {4, 8}, {4, 8}}
	engines := make([]*sims.Engine, len(ranges))
	for i, r := range ranges {
		engines[i] = site.AddEngine(fmt.Sprintf("e%d", i), "x", sims.Model{Layers: 8, Token: 25 * time.Millisecond}).SetLayers(r[0], r[1])
	}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	// The substitutes are equal, and the first by ID is tried first.
	engines[2].SetFaults(sims.EngineFaults{Full: true})
	go func() {
		for engines[0].Running() == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		engines[1].Kill()
	}()
	a := g.get("/draft/x?events=30")
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(engines[0].Served(), 1)          // the stream stayed at its first target
	is.True(engines[0].RefusedRepaths() <= 1) // the full substitute was asked once at most
	is.Equal(len(engines[3].Orders()), 0)     // its layers were not moved meanwhile
	is.True(len(engines[0].Orders()) >= 1)    // the path was changed
}
