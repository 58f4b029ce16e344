package plan

import (
	"fmt"
	"strings"
	"time"

	"shallotcourse/internal/place"
	"shallotcourse/internal/topo"
)

// boundsInterval is the shortest time between two updates of the metrics of the
// bounds.
const boundsInterval = 5 * time.Second

// ServiceBound is the number of requests that the memory of a group of a
// service's targets holds at once.
type ServiceBound struct {
	Service string
	place.Bound
}

// Bounds returns the bound of each group of data centres, as this gateway lists
// the targets.
func (p *Planner) Bounds() []ServiceBound {
	var out []ServiceBound
	for _, s := range p.Configs.Section().Value().Services() {
		if s.Model == nil {
			continue
		}
		var targets []place.Target
		for _, t := range p.Fleets.Section().Value().ServiceTargets(s.Name) {
			if t.State == topo.Ready && !p.Ledger.Unresponsive(t) {
				targets = append(targets, place.Target{Target: t, Next: t.Held})
			}
		}
		for _, b := range place.Bounds(s.Model, targets) {
			out = append(out, ServiceBound{s.Name, b})
		}
	}
	return out
}

// updateBoundMetrics sets the metrics of the bounds.
func (p *Planner) updateBoundMetrics() {
	now := p.BootClock()
	if now-p.boundsAt < boundsInterval {
		return
	}
	p.boundsAt = now
	for _, b := range p.Bounds() {
		labels := fmt.Sprintf("{Service=%q,DataCentres=%q}", b.Service, strings.Join(b.DataCentres, ","))
		for name, value := range map[string]float64{
			"shallotcourse_layer_bound_requests": b.Requests, "shallotcourse_layer_bound_best_requests": b.Best,
			"shallotcourse_layer_bound_from": float64(b.Binding.From), "shallotcourse_layer_bound_to": float64(b.Binding.To),
		} {
			p.Metrics.GetOrCreateGauge(name+labels, nil).Set(value)
		}
	}
}
