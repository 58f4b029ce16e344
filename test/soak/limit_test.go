package soak

import (
	"fmt"

	"shallotcourse/platform/sims"
)

// limitEngine makes a target name a limit of requests a second.
func limitEngine(w *world) (string, func()) {
	e, limit := w.randomEngine(), w.randomLimit()
	e.SetFaults(sims.EngineFaults{Limit: limit})
	return "limit of " + limit + " at " + e.ID, func() { e.SetFaults(sims.EngineFaults{}) }
}

// limitService makes an instance of a plain service name a limit.
func limitService(w *world) (string, func()) {
	v, limit := w.services[w.random.IntN(len(w.services))], w.randomLimit()
	v.SetFaults(sims.ServiceFaults{Limit: limit})
	return "limit of " + limit + " at " + v.ID, func() { v.SetFaults(sims.ServiceFaults{}) }
}

func (w *world) randomLimit() string { return fmt.Sprintf("%.1f", 0.5+10*w.random.Float64()) }
