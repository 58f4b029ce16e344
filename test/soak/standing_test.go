package soak

import (
	"strconv"
	"time"

	"shallotcourse/platform/sims"
)

const (
	// leaveBound is the time from which a gateway that has passed on that a target
	// leaves must not send requests there. Deployments allow twice as much.
	leaveBound = time.Second
	// pauseGrace is the time after a refusal with a pause in which requests may still
	// arrive, and maxInPause the number of those that may arrive later.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// checkStandings checks what targets got from gateways that they had told that they
// leave or want a pause. The caller holds the lock of the counts.
func (w *world) checkStandings() {
	for _, e := range w.engines {
		w.checkTarget(e.ID, e.Requests())
	}
	for _, v := range w.services {
		w.checkTarget(v.ID, v.Requests())
	}
}

func (w *world) checkTarget(id string, requests []sims.Arrival) {
	type incarnation struct {
		gateway *gateway
		started int64
	}
	told := map[incarnation]time.Time{}
	for _, r := range requests {
		s, ok := w.counts.sendings[r.ID]
		key := incarnation{s.gateway, r.Started}
		if first := told[key]; ok && s.leaving == id && (first.IsZero() || s.leavingAt.Before(first)) {
			told[key] = s.leavingAt
		}
	}
	pausing := map[incarnation][]sims.Arrival{}
	for _, r := range requests {
		s, ok := w.counts.sendings[r.ID]
		if !ok {
			continue
		}
		key := incarnation{s.gateway, r.Started}
		if at := told[key]; !at.IsZero() && s.at.After(at.Add(leaveBound)) && !s.gateway.disturbedWithin(at, r.At) {
			w.recordFailure("request %s reached %s from %s, %s after that had passed on that it leaves", r.ID, id, s.gateway.name, s.at.Sub(at))
		}
		pausing[key] = append(pausing[key], r)
	}
	for key, all := range pausing {
		w.checkPauses(id, key.gateway, all)
	}
}

// checkPauses checks the requests of one gateway to one incarnation of a target.
func (w *world) checkPauses(id string, g *gateway, requests []sims.Arrival) {
	for _, refused := range requests {
		pause, err := strconv.ParseFloat(refused.Pause, 64)
		if err != nil || !(pause > 0 && pause < 1e9) {
			continue
		}
		end, n := refused.At.Add(time.Duration(pause*float64(time.Second))), 0
		for _, r := range requests {
			if r.At.After(refused.At.Add(pauseGrace)) && r.At.Before(end) {
				n++
			}
		}
		if n > maxInPause && !g.disturbedWithin(refused.At, end) {
			w.recordFailure("%d requests reached %s from %s in a pause of %s s after %s", n, id, g.name, refused.Pause, refused.ID)
		}
	}
}
