package agent

import (
	"github.com/VictoriaMetrics/metrics"

	"shallotcourse/internal/wire"
)

// RegisterMetrics registers gauges for the agent's load, with the values of its
// load reports.
func (a *Agent) RegisterMetrics(set *metrics.Set) {
	gauge := func(name string, value func(wire.Load) float64) {
		set.GetOrCreateGauge(name, func() float64 { return value(a.currentLoad()) })
	}
	gauge("shallotcourse_agent_open", func(l wire.Load) float64 { return float64(l.Open) })
	gauge("shallotcourse_agent_waiting_steps", func(l wire.Load) float64 { return float64(l.Waiting) })
	gauge("shallotcourse_agent_limit", func(l wire.Load) float64 { return float64(l.Limit) })
	gauge("shallotcourse_agent_queue_delay_seconds", func(l wire.Load) float64 { return l.QueueDelay.Seconds() })
	gauge("shallotcourse_agent_step_seconds", func(l wire.Load) float64 { return l.StepTime.Seconds() })
	gauge("shallotcourse_agent_ready", func(l wire.Load) float64 { return boolToFloat(l.Ready) })
	gauge("shallotcourse_agent_leaving", func(l wire.Load) float64 { return boolToFloat(l.Leaving) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
