package agent

import (
	"github.com/VictoriaMetrics/metrics"

	"shallotcourse/internal/wire"
)

// Export adds the agent's load, as its reports carry it, to a set of metrics.
func (a *Agent) Export(set *metrics.Set) {
	gauge := func(name string, value func(wire.Load) float64) {
		set.GetOrCreateGauge(name, func() float64 { return value(a.load()) })
	}
	gauge("shallotcourse_agent_open", func(l wire.Load) float64 { return float64(l.Open) })
	gauge("shallotcourse_agent_waiting_steps", func(l wire.Load) float64 { return float64(l.Waiting) })
	gauge("shallotcourse_agent_limit", func(l wire.Load) float64 { return float64(l.Limit) })
	gauge("shallotcourse_agent_queue_delay_seconds", func(l wire.Load) float64 { return l.QueueDelay.Seconds() })
	gauge("shallotcourse_agent_step_seconds", func(l wire.Load) float64 { return l.StepTime.Seconds() })
	gauge("shallotcourse_agent_ready", func(l wire.Load) float64 { return number(l.Ready) })
	gauge("shallotcourse_agent_leaving", func(l wire.Load) float64 { return number(l.Leaving) })
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
