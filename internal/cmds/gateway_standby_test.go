package cmds

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// Guards against a stream that is cut off although the caller has all its events,
// because the target falls silent before the end and another one has no more events.
func TestGatewayEndsStreamsAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	one := site.AddEngine("a", "x", testModel).SetLayers(0, 8)
	one.SetFaults(sims.EngineFaults{SilentEnd: 5 * time.Second})
	g := startGateway(t, "g1", store, nil).waitReady(t)
	answer := make(chan testResponse, 1)
	go func() { answer <- g.get("/draft/x?events=5") }()
	eventually(t, "the target has begun", func() bool { return one.Running() == 1 })
	site.AddEngine("b", "x", testModel).SetLayers(0, 8)
	a := <-answer
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(eventIDs(a.body), "1 2 3 4 5")
}
