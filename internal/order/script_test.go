package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotcourse/internal/script"
	"shallotcourse/pkg/resrc"
)

// Runs the scripts in testdata/lease.txtar against a Lease of the agent "me". The
// comment in a case names the failure that it guards against.
func TestLeaseScripts(t *testing.T) {
	script.Run(t, "testdata/lease.txtar", func(t *testing.T) func(script.Line) []string {
		lease := NewLease("me", LeaseRules{Lease: 10 * time.Second, LongestOrder: time.Minute, Gap: time.Second})
		now := time.Unix(0, 0)
		var commit Commit
		return func(l script.Line) []string {
			for range l.Int("ticks") {
				// Time that passes without ticks simulates a suspension.
				now = now.Add(500 * time.Millisecond)
				lease.Tick(now)
			}
			now = now.Add(l.Duration("after"))
			switch l.Name {
			case "next":
				switch s := lease.Next(now).(type) {
				case Commit:
					commit = s
					return []string{describeCommit(s)}
				case Wait:
					return []string{fmt.Sprintf("Wait %s", s.For)}
				case AwaitRevision:
					return []string{fmt.Sprintf("Behind revision=%d", s.Revision)}
				default:
					return []string{strings.TrimPrefix(fmt.Sprintf("%T", s), "order.")}
				}
			case "observed":
				lease.Observed(uint64(l.Int("version")), Owner{
					Holder: l.Text("holder"), Epoch: uint64(l.Int("epoch")), Lease: 10 * time.Second, Released: l.Bool("released"),
					Revision: uint64(l.Int("revision")),
				}, now)
				return nil
			case "written":
				lease.Written(commit, now.Add(-l.Duration("took")), l.Bool("ok"), l.Bool("known"))
				return nil
			case "revision":
				lease.SetRevision(uint64(l.Int("is")))
				return nil
			case "checks-fencing":
				lease.SetChecksFencing(true)
				return nil
			case "may":
				epoch, ok := lease.MaySend(now)
				return []string{fmt.Sprintf("%t epoch=%d", ok, epoch)}
			case "tick":
				lease.Tick(now)
				return nil
			case "release":
				c, ok := lease.Release()
				if !ok {
					return []string{"nothing to release"}
				}
				commit = c
				return []string{describeCommit(c)}
			}
			t.Fatalf("unknown input %s", l.Name)
			return nil
		}
	})
}

func describeCommit(c Commit) string {
	return fmt.Sprintf("Commit version=%d holder=%s epoch=%d released=%t", c.Version, c.Owner.Holder, c.Owner.Epoch, c.Owner.Released)
}

// Guards against orders that break open sessions, and against a target that
// is reported as ready before it is.
func TestPlanScripts(t *testing.T) {
	script.Run(t, "testdata/plan.txtar", func(t *testing.T) func(script.Line) []string {
		return func(l script.Line) []string {
			d := Desired{Version: l.Text("want"), Layers: layerRange(l.Ints("want-layers")), Role: l.Text("want-role")}
			for _, name := range splitList(l.Text("want-adapters")) {
				d.Adapters = append(d.Adapters, Adapter{Name: name})
			}
			p := MakePlan(d, Observed{
				Version: l.Text("have"), Layers: layerRange(l.Ints("have-layers")), Role: l.Text("have-role"),
				Adapters: splitList(l.Text("have-adapters")), Loading: l.Bool("loading"),
			}, l.Int("open"))
			out := []string{fmt.Sprintf("ready=%t", p.Ready)}
			for _, o := range p.Orders {
				out = append(out, strings.TrimSpace(fmt.Sprintf("%s %s%s", o.Kind, o.Adapter, o.Role)))
			}
			return out
		}
	})
}

func layerRange(n []int) resrc.LayerRange {
	if len(n) != 2 {
		return resrc.LayerRange{}
	}
	return resrc.LayerRange{From: n[0], To: n[1]}
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
}
