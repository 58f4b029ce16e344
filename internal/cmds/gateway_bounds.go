package cmds

import (
	"strings"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/bounds"
)

// promiseStatus shows how long a change takes at most until it is in force.
type promiseStatus struct {
	Name string
	// Bound is the time that the deployment requires, Sum that of all steps.
	Bound, Sum string
	Steps      string
	Kept       bool
}

// noteBounds logs and counts the bounds of the deployment that the gateway cannot keep
// for certain. It keeps as close to them as it can.
func (g *gatewayDaemon) noteBounds() {
	for _, p := range g.times.Promises {
		g.metrics.NewGauge(`shallotcourse_bound_excess_seconds{Bound="`+p.Name+`"}`, func() float64 { return p.Excess().Seconds() })
		if p.Excess() == 0 {
			continue
		}
		_ = level.Warn(g.logger).Log("event", "BoundExceeded", "bound", p.Name, "required", p.Bound, "sum", p.Sum(), "steps", stepsText(p.Steps))
	}
}

func promiseStatuses(promises []bounds.Promise) []promiseStatus {
	out := make([]promiseStatus, len(promises))
	for i, p := range promises {
		out[i] = promiseStatus{Name: p.Name, Bound: p.Bound.String(), Sum: p.Sum().String(), Steps: stepsText(p.Steps), Kept: p.Excess() == 0}
	}
	return out
}

func stepsText(steps []bounds.Step) string {
	texts := make([]string, len(steps))
	for i, s := range steps {
		texts[i] = s.Name + " " + s.Time.String()
	}
	return strings.Join(texts, ", ")
}
