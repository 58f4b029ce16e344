package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/bounds"
	"shallotcourse/internal/chain"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/timer"
)

// Guards against loads of a data centre that count as new although no gateway there has
// reported any, as when it is cut off.
func TestLoadAge(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a", nil, bounds.Derive(bounds.Default))
	clock := timer.NewManual(time.Unix(1000, 0))
	p.Ledger = ledger.New(clock)
	p.topology = Topology{Mesh: true}
	p.Members.others = map[string]Member{"b": {Instance: "b", DataCentre: "y"}, "c": {Instance: "c", DataCentre: "y"}, "d": {Instance: "d", DataCentre: "z"}}
	p.Ledger.SetPeerLoads("b", map[string]chain.Load{})
	clock.Advance(time.Second)
	is.Equal(p.LoadAge("y"), time.Second)
	is.Equal(p.LoadAge("z"), noReportAge)
	is.Equal(p.LoadAge("w"), time.Duration(0)) // no gateway stands there
	p.topology = Topology{Leader: "e"}
	p.Ledger.SetAllPeerLoads("e", map[string]chain.Load{})
	is.Equal(p.LoadAge("z"), time.Duration(0)) // the leader's sum covers all
}
