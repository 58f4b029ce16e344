package follow

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// Guards against a target that has drained and left, and is ready again because the
// list of another gateway names the era of a restored store before this one has read it.
func TestTargetStaysGoneIfAnotherGatewayNamesTheEraFirst(t *testing.T) {
	for _, named := range []bool{false, true} {
		is := is.New(t)
		now := time.Second
		f := NewFleets(nil, timer.System{}, func() time.Duration { return now }, log.NewNopLogger())
		x := topo.Target{ID: "x", Service: "m", State: topo.Ready, Started: 7}
		y := topo.Target{ID: "y", Service: "m", State: topo.Ready, Started: 7}
		f.apply(TargetPage{Complete: true, Targets: []topo.Target{x, y}, Version: topo.Version{Era: 1, Number: 80}}, now)
		draining := x
		draining.State = topo.Draining
		now += time.Second
		f.apply(TargetPage{Targets: []topo.Target{draining}, Version: topo.Version{Era: 1, Number: 85}}, now)
		now += time.Second
		f.apply(TargetPage{Gone: []string{"x"}, Version: topo.Version{Era: 1, Number: 90}}, now)
		now += 2 * time.Second
		if named {
			f.ApplySync(topo.Version{Era: 2, Number: 81}, []topo.Target{y}, now-100*time.Millisecond, "e2")
		}
		f.apply(TargetPage{Complete: true, Targets: []topo.Target{x, y}, Version: topo.Version{Era: 2, Number: 81}}, now)
		_, listed := f.Section().Value().Target("x")
		is.True(!listed) // the copy is older than its end
	}
}
