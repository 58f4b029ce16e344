package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotcourse/platform/sims"
)

const (
	// drainBound is the Bounds.Drain setting of the gateways.
	drainBound = 2 * time.Second
	// contactTime is the time without a disturbance from which gateways must keep to
	// drainBound.
	contactTime = 3 * time.Second
	// maxLeaveDelay bounds the time from the loss of the store to a leave.
	maxLeaveDelay = 2 * time.Second
	// leaveGateways is a number of gateways that form groups.
	leaveGateways = 11
)

type (
	// drain is an incarnation of a target that drains, as the store has shown since a
	// time.
	drain struct {
		engine  *sims.Engine
		started int64
		at      time.Time
	}

	// disturbance is a fault on the store, or on a gateway's connections.
	disturbance struct {
		// gateway is nil if all gateways are disturbed.
		gateway *gateway
		// to is zero while the fault lasts.
		from, to time.Time
	}
)

// disturb records the start of a fault, and its end when the result is called.
func (w *world) disturb(g *gateway) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.disturbances)
	w.disturbances = append(w.disturbances, disturbance{gateway: g, from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disturbances[i].to = time.Now()
	}
}

// disturbedWithin reports whether the store, or the connections of a gateway, were
// disturbed between two times. A nil gateway stands for the store.
func (w *world) disturbedWithin(g *gateway, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.disturbances {
		if (d.gateway == nil || d.gateway == g) && !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from)) {
			return true
		}
	}
	return false
}

// leaveFaults are the faults among which targets leave while some gateways lack the
// store, as it is for the others.
var leaveFaults = []fault{
	leaveWithoutStore, leaveWithoutStore, leaveWithoutStore, cutConnections(linkRelay), delayMessages(linkRelay), silenceConnections(storeRelay), pauseGateway,
}

// noteDrain records that a target drains from now on.
func (w *world) noteDrain(e *sims.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drains = append(w.drains, drain{engine: e, started: e.Started(), at: time.Now()})
}

// leaveWithoutStore cuts some gateways off the store, lists a target as draining some
// time later, and restarts it at the end.
func leaveWithoutStore(w *world) (string, func()) {
	var names []string
	var undos []func()
	for range (len(w.gateways) + 3) / 4 {
		name, undo := cutConnections(storeRelay)(w)
		names, undos = append(names, name), append(undos, undo)
	}
	e := w.randomEngine()
	delay := time.Duration(w.random.Int64N(int64(maxLeaveDelay)))
	name, undo := w.exclusive("leave of", e.ID, func() func() {
		left := make(chan struct{})
		time.AfterFunc(delay, func() {
			e.WriteRow("draining")
			w.noteDrain(e)
			close(left)
		})
		return func() {
			<-left
			e.Kill()
			e.Restart()
		}
	})
	return strings.Join(append(names, name), ", "), func() {
		undo()
		for _, undo := range undos {
			undo()
		}
	}
}

// checkDrains checks that no request has reached a target later than drainBound after
// the store showed that it drains, from a gateway that was not disturbed.
func (w *world) checkDrains() {
	for _, d := range w.drains {
		if w.disturbedWithin(nil, d.at.Add(-contactTime), d.at) {
			continue
		}
		for _, r := range d.engine.Requests() {
			s, ok := w.counts.sendings[r.ID]
			late := r.At.Sub(d.at)
			if !ok || r.Started != d.started || late <= drainBound {
				continue
			}
			since := r.At.Add(-contactTime)
			if !s.gateway.disturbedWithin(since, r.At) && !w.disturbedWithin(s.gateway, since, r.At) {
				w.recordFailure("request %s reached %s from %s %s after it drained", r.ID, d.engine.ID, s.gateway.name, late)
			}
		}
	}
}

// Guards against requests to targets that have left (DRAIN), from gateways in groups
// whose leader lacks the store or is frozen.
func TestLeavesWithoutStore(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed, leaveGateways, *faultsLength, leaveFaults) })
	}
}
