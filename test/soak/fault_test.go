package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"shallotcourse/internal/fakes/relay"
	"shallotcourse/platform/sims"
)

const (
	// meanFaultPause is the mean time between the starts of two faults. It is
	// below maxFaultLength, so that faults overlap.
	meanFaultPause = 600 * time.Millisecond
	minFaultLength = 100 * time.Millisecond
	// maxFaultLength is above KeyLife, so that some faults last until keys are
	// refused.
	maxFaultLength = 8 * time.Second
	// maxDelay bounds the delay of a link in each direction.
	maxDelay = 500 * time.Millisecond
	// outageSlack is the time by which an outage of the store exceeds KeyLife.
	outageSlack = 2 * time.Second
	// targetExpiry is the time after which the store drops the row of a target
	// that no longer runs.
	targetExpiry = 3600 * time.Millisecond
)

// pauses are the pauses that targets ask for, in seconds, and values that are none.
var pauses = []string{"0.7", "1.5", "4", "0", "-1", "NaN", "1e300", "Fri, 04 Dec 2026 21:29:39 GMT"}

// fault injects a fault and returns its description and the function that ends
// it.
type fault func(w *world) (string, func())

// faults lists the faults that the soak draws from. A fault that is listed twice
// is drawn twice as often.
var faults = []fault{
	killGateway, stopGateway, stopInSeries, pauseGateway,
	cutConnections(linkRelay), silenceConnections(linkRelay), delayMessages(linkRelay), holdDirection(linkRelay),
	cutConnections(storeRelay), silenceConnections(storeRelay), holdDirection(storeRelay),
	failStoreRequests, storeOutage, loseWriteAnswers, dropStoreHistory, rotateKeys,
	killEngine, killEngine, drainEngine, leaveWithoutStore, breakStreams, slowService, failService,
	limitEngine, limitService,
	leaveEngine, pauseEngine, leaveService, pauseService,
}

// injectFaults draws faults of some kinds until the given time, single ones and series of
// three of one kind. It returns when all of them have ended.
func (w *world) injectFaults(kinds []fault, end time.Time) {
	var open sync.WaitGroup
	for time.Now().Before(end) {
		kind := kinds[w.random.IntN(len(kinds))]
		times := 1
		if w.random.IntN(4) == 0 {
			times = 3
		}
		for range times {
			name, undo := kind(w)
			length := minFaultLength + time.Duration(w.random.Int64N(int64(maxFaultLength-minFaultLength)))
			w.recordEvent("%s for %s", name, length.Round(time.Millisecond))
			open.Go(func() {
				time.Sleep(length)
				undo()
			})
			time.Sleep(time.Duration(w.random.ExpFloat64() * float64(meanFaultPause) / float64(times)))
		}
	}
	open.Wait()
}

func (w *world) randomGateway() *gateway { return w.gateways[w.random.IntN(len(w.gateways))] }

// exclusive injects a fault into a process or target unless another exclusive
// fault on it is active, in which case it does nothing.
func (w *world) exclusive(what, name string, do func() func()) (string, func()) {
	w.mu.Lock()
	active := w.faulted[name]
	w.faulted[name] = true
	w.mu.Unlock()
	if active {
		return what + " " + name + " skipped, another fault on it is active", func() {}
	}
	undo := do()
	return what + " " + name, func() {
		undo()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.faulted, name)
	}
}

func killGateway(w *world) (string, func()) {
	g := w.randomGateway()
	return w.exclusive("kill", g.name, func() func() {
		g.kill()
		return func() { g.start(w.recordFailure, w.log) }
	})
}

func stopGateway(w *world) (string, func()) {
	g := w.randomGateway()
	return w.exclusive("stop", g.name, func() func() {
		stopped := make(chan struct{})
		go func() {
			g.stop(w.recordFailure)
			close(stopped)
		}()
		return func() {
			<-stopped
			g.start(w.recordFailure, w.log)
		}
	})
}

func pauseGateway(w *world) (string, func()) {
	g := w.randomGateway()
	return w.exclusive("pause", g.name, func() func() {
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT) }
	})
}

// relayOf returns a description of one of a gateway's relays, and the relay.
type relayOf func(g *gateway) (string, *relay.Relay)

func linkRelay(g *gateway) (string, *relay.Relay)  { return "links of " + g.name, g.links }
func storeRelay(g *gateway) (string, *relay.Relay) { return "store of " + g.name, g.store }

// cutConnections closes the connections and refuses new ones.
func cutConnections(of relayOf) fault {
	return func(w *world) (string, func()) {
		g := w.randomGateway()
		name, r := of(g)
		end := w.disturb(g)
		r.RefuseNew(true)
		r.Cut()
		return "cut " + name, func() {
			r.RefuseNew(false)
			end()
		}
	}
}

// silenceConnections makes the open connections pass nothing for good; new ones
// work, so there is nothing to end.
func silenceConnections(of relayOf) fault {
	return func(w *world) (string, func()) {
		g := w.randomGateway()
		name, r := of(g)
		end := w.disturb(g)
		r.Silence()
		return "silence " + name, end
	}
}

func delayMessages(of relayOf) fault {
	return func(w *world) (string, func()) {
		g := w.randomGateway()
		name, r := of(g)
		end := w.disturb(g)
		d := time.Duration(w.random.Int64N(int64(maxDelay)))
		r.SetDelay(d)
		return fmt.Sprintf("delay %s by %s", name, d), func() {
			r.SetDelay(0)
			end()
		}
	}
}

// holdDirection holds back all data in one direction; nothing is lost.
func holdDirection(of relayOf) fault {
	return func(w *world) (string, func()) {
		g := w.randomGateway()
		name, r := of(g)
		end := w.disturb(g)
		toTarget := w.random.IntN(2) == 0
		r.PauseDirection(toTarget, true)
		return fmt.Sprintf("hold back %s, direction to the relay's target: %v", name, toTarget), func() {
			r.PauseDirection(toTarget, false)
			end()
		}
	}
}

// failStoreRequests makes the store answer with an error status, or not at all.
func failStoreRequests(w *world) (string, func()) {
	f := []sims.StoreFaults{{Status: 503}, {Status: 429}, {Silent: true}}[w.random.IntN(3)]
	end := w.disturb(nil)
	w.site.Store.SetFaults(f)
	return fmt.Sprintf("store %+v", f), func() {
		w.site.Store.SetFaults(sims.StoreFaults{})
		end()
	}
}

// storeOutage disconnects all gateways from the store for longer than KeyLife,
// and rotates the keys at its start, which no gateway receives until it ends.
func storeOutage(w *world) (string, func()) {
	ended := w.disturb(nil)
	for _, g := range w.gateways {
		g.store.RefuseNew(true)
		g.store.Cut()
	}
	w.rotateKeys()
	end := time.Now().Add(keyLife + outageSlack)
	return "outage of the store", func() {
		time.Sleep(time.Until(end))
		for _, g := range w.gateways {
			g.store.RefuseNew(false)
		}
		ended()
	}
}

// loseWriteAnswers makes the store perform writes without answering them.
func loseWriteAnswers(w *world) (string, func()) {
	end := w.disturb(nil)
	w.site.Store.SetFaults(sims.StoreFaults{LoseAnswers: 3})
	return "store loses answers to writes", func() {
		w.site.Store.SetFaults(sims.StoreFaults{})
		end()
	}
}

// dropStoreHistory makes the store forget past changes, so that gateways that
// follow its feeds must read everything again.
func dropStoreHistory(w *world) (string, func()) {
	w.site.Store.ForgetHistory()
	return "store loses its history", func() {}
}

func rotateKeys(w *world) (string, func()) {
	w.rotateKeys()
	return "new keys", func() {}
}

func (w *world) randomEngine() *sims.Engine { return w.engines[w.random.IntN(len(w.engines))] }

// killEngine ends a target without a graceful stop. If it stays down for longer
// than targetExpiry, its row is dropped from the store. It restarts without
// loaded layers.
func killEngine(w *world) (string, func()) {
	e := w.randomEngine()
	return w.exclusive("kill engine", e.ID, func() func() {
		e.Kill()
		killed := time.Now()
		return func() {
			if time.Since(killed) > targetExpiry {
				w.site.Store.Delete("servers", e.ID)
			}
			e.Restart()
		}
	})
}

// drainEngine lists a target as draining, later as ready again.
func drainEngine(w *world) (string, func()) {
	e := w.randomEngine()
	return w.exclusive("drain engine", e.ID, func() func() {
		e.WriteRow("draining")
		w.noteDrain(e)
		return func() { e.WriteRow("ready") }
	})
}

// leaveEngine makes a target say that it leaves, which the list does not show, and
// restarts it at the end.
func leaveEngine(w *world) (string, func()) {
	e := w.randomEngine()
	return w.exclusive("leave engine", e.ID, func() func() {
		e.SetFaults(sims.EngineFaults{Leaving: true})
		return func() {
			e.SetFaults(sims.EngineFaults{})
			e.Kill()
			e.Restart()
		}
	})
}

// pauseEngine makes a target refuse requests and ask for pauses.
func pauseEngine(w *world) (string, func()) {
	e := w.randomEngine()
	pause := pauses[w.random.IntN(len(pauses))]
	return w.exclusive("pause of "+pause+" s at engine", e.ID, func() func() {
		e.SetFaults(sims.EngineFaults{Pause: pause})
		return func() { e.SetFaults(sims.EngineFaults{}) }
	})
}

func (w *world) randomService() *sims.Service { return w.services[w.random.IntN(len(w.services))] }

// leaveService is like leaveEngine for a target of the plain service.
func leaveService(w *world) (string, func()) {
	v := w.randomService()
	return w.exclusive("leave service", v.ID, func() func() {
		v.SetFaults(sims.ServiceFaults{Leaving: true})
		return v.Restart
	})
}

// pauseService is like pauseEngine for a target of the plain service.
func pauseService(w *world) (string, func()) {
	v := w.randomService()
	pause := pauses[w.random.IntN(len(pauses))]
	return w.exclusive("pause of "+pause+" s at service", v.ID, func() func() {
		v.SetFaults(sims.ServiceFaults{Pause: pause})
		return func() { v.SetFaults(sims.ServiceFaults{}) }
	})
}

func breakStreams(w *world) (string, func()) {
	e := w.randomEngine()
	e.SetFaults(sims.EngineFaults{BreakAfter: 1 + w.random.IntN(8)})
	return "break streams of " + e.ID, func() { e.SetFaults(sims.EngineFaults{}) }
}

func slowService(w *world) (string, func()) {
	v := w.services[w.random.IntN(len(w.services))]
	v.SetFaults(sims.ServiceFaults{Delay: time.Second})
	return "slow service " + v.ID, func() { v.SetFaults(sims.ServiceFaults{}) }
}

// failService makes the service lose answers, refuse requests, truncate answers
// or answer with another request's ID.
func failService(w *world) (string, func()) {
	v := w.services[w.random.IntN(len(w.services))]
	f := []sims.ServiceFaults{{LoseAnswers: true}, {NotRun: true}, {Short: true}, {OtherID: true}}[w.random.IntN(4)]
	v.SetFaults(f)
	return fmt.Sprintf("service %s %+v", v.ID, f), func() { v.SetFaults(sims.ServiceFaults{}) }
}
