package limit

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"shallotcourse/internal/script"
)

// Guards against a wrong number of sessions for the measured step times, with a
// step time goal of 45 ms for the whole chain. The share in a line is the part of
// its step time that a session spends at this engine, so the goal for this engine
// is that part of 45 ms. Each case describes the failure that it guards against.
func TestCapacityScripts(t *testing.T) {
	script.Run(t, "testdata/capacity/*.txtar", func(t *testing.T) func(script.Line) []string {
		c := &Capacity{}
		return func(line script.Line) []string {
			for range max(1, line.Int("times")) {
				switch line.Name {
				case "step":
					positions := max(1, line.Int("positions"))
					c.Begin(positions)
					c.End(positions, line.Int("inFlight"), line.Duration("took"), !line.Bool("failed"))
				case "load":
					// One interval with a step of the duration took and, if late is
					// set, a second one of the duration late.
					for _, took := range []string{"took", "late"} {
						if line.Text(took) != "" {
							c.Begin(1)
							c.End(1, line.Int("inFlight"), line.Duration(took), true)
						}
					}
					c.Interval(50 * time.Millisecond)
				case "interval":
					c.Interval(50 * time.Millisecond)
				case "show":
				default:
					t.Fatalf("unknown input %s", line.Name)
				}
			}
			share, err := strconv.ParseFloat(line.Text("share"), 64)
			if err != nil {
				return nil
			}
			n, ok := c.Sessions(time.Duration(share*float64(45*time.Millisecond)), share)
			if !ok {
				return []string{"unknown"}
			}
			return []string{fmt.Sprintf("sessions %d", int(n))}
		}
	})
}
