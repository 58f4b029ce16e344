package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"shallotcourse/platform/sims"
)

const (
	// faultPause is the mean time between two faults, and faultLeast and
	// faultMost bound how long one lasts, so that faults overlap and some last
	// longer than keys live without proof.
	faultPause = 600 * time.Millisecond
	faultLeast = 100 * time.Millisecond
	faultMost  = 8 * time.Second
	// outageSlack is how much longer than keys live an outage lasts.
	outageSlack = 2 * time.Second
	// lapse is the time after which the entry of a dead target lapses.
	lapse = 3600 * time.Millisecond
)

// fault does something at once and returns its name and what undoes it.
type fault func(w *world) (string, func())

// faults are all that the soak draws from.
var faults = []fault{
	killGateway, stopGateway, pauseGateway,
	cutLinks, silenceLinks, delayLinks, oneWayLinks, cutStore, silenceStore, oneWayStore,
	failStore, outage, loseWrites, loseHistory, rotateKeys,
	killEngine, killEngine, drainEngine, breakStreams, slowService, loseAnswers,
}

// hurt draws faults until the end of the soak, single ones and series of one
// kind, and undoes them when their time is over.
func (w *world) hurt(end time.Time) {
	var open sync.WaitGroup
	for time.Now().Before(end) {
		kind := faults[w.random.IntN(len(faults))]
		times := 1
		if w.random.IntN(4) == 0 {
			times = 3
		}
		for range times {
			name, undo := kind(w)
			length := faultLeast + time.Duration(w.random.Int64N(int64(faultMost-faultLeast)))
			w.note("%s for %s", name, length.Round(time.Millisecond))
			open.Go(func() {
				time.Sleep(length)
				undo()
			})
			time.Sleep(time.Duration(w.random.ExpFloat64() * float64(faultPause) / float64(times)))
		}
	}
	open.Wait()
}

func (w *world) someGateway() *gateway { return w.gateways[w.random.IntN(len(w.gateways))] }

// take marks a gateway that runs as being handled, so that only one fault at a
// time ends or pauses it.
func (g *gateway) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down || g.held {
		return false
	}
	g.held = true
	return true
}

func (g *gateway) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = false
}

// onGateway does something to a gateway that no other fault has ended.
func onGateway(w *world, name string, do func(g *gateway) func()) (string, func()) {
	g := w.someGateway()
	if !g.take() {
		return name + " left out, " + g.name + " is down", func() {}
	}
	undo := do(g)
	return name + " " + g.name, func() {
		undo()
		g.release()
	}
}

func killGateway(w *world) (string, func()) {
	return onGateway(w, "kill", func(g *gateway) func() {
		g.kill()
		return func() { g.start(w.fail, w.log) }
	})
}

func stopGateway(w *world) (string, func()) {
	return onGateway(w, "stop", func(g *gateway) func() {
		stopped := make(chan struct{})
		go func() {
			g.stop(w.fail)
			close(stopped)
		}()
		return func() {
			<-stopped
			g.start(w.fail, w.log)
		}
	})
}

func pauseGateway(w *world) (string, func()) {
	return onGateway(w, "pause", func(g *gateway) func() {
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT) }
	})
}

func cutLinks(w *world) (string, func()) {
	g := w.someGateway()
	g.links.Refuse(true)
	g.links.Cut()
	return "cut links to " + g.name, func() { g.links.Refuse(false) }
}

func silenceLinks(w *world) (string, func()) {
	g := w.someGateway()
	g.links.Silence()
	return "silence links to " + g.name, func() {}
}

func delayLinks(w *world) (string, func()) {
	g := w.someGateway()
	d := time.Duration(w.random.Int64N(int64(500 * time.Millisecond)))
	g.links.Delay(d)
	return fmt.Sprintf("delay links to %s by %s", g.name, d), func() { g.links.Delay(0) }
}

func oneWayLinks(w *world) (string, func()) {
	g, to := w.someGateway(), w.random.IntN(2) == 0
	g.links.OneWay(to, true)
	return fmt.Sprintf("hold links of %s, towards it %v", g.name, to), func() { g.links.OneWay(to, false) }
}

func cutStore(w *world) (string, func()) {
	g := w.someGateway()
	g.store.Refuse(true)
	g.store.Cut()
	return "cut store from " + g.name, func() { g.store.Refuse(false) }
}

func silenceStore(w *world) (string, func()) {
	g := w.someGateway()
	g.store.Silence()
	return "silence store for " + g.name, func() {}
}

func oneWayStore(w *world) (string, func()) {
	g, to := w.someGateway(), w.random.IntN(2) == 0
	g.store.OneWay(to, true)
	return fmt.Sprintf("hold store of %s, towards it %v", g.name, to), func() { g.store.OneWay(to, false) }
}

func failStore(w *world) (string, func()) {
	f := []sims.StoreFaults{{Status: 503}, {Status: 429}, {Silent: true}}[w.random.IntN(3)]
	w.site.Store.SetFaults(f)
	return fmt.Sprintf("store %+v", f), func() { w.site.Store.SetFaults(sims.StoreFaults{}) }
}

// outage cuts all gateways off the store for longer than keys live without
// proof, and lets the operator change the keys meanwhile.
func outage(w *world) (string, func()) {
	for _, g := range w.gateways {
		g.store.Refuse(true)
		g.store.Cut()
	}
	w.rotate()
	end := time.Now().Add(keyLife + outageSlack)
	return "outage of the store", func() {
		time.Sleep(time.Until(end))
		for _, g := range w.gateways {
			g.store.Refuse(false)
		}
	}
}

func loseWrites(w *world) (string, func()) {
	w.site.Store.SetFaults(sims.StoreFaults{LoseAnswers: 3})
	return "store loses answers to writes", func() { w.site.Store.SetFaults(sims.StoreFaults{}) }
}

func loseHistory(w *world) (string, func()) {
	w.site.Store.ForgetHistory()
	return "store loses its history", func() {}
}

func rotateKeys(w *world) (string, func()) {
	w.rotate()
	return "new keys", func() {}
}

// killEngine ends a target without a word; its entry lapses, and it comes back
// empty.
func killEngine(w *world) (string, func()) {
	e := w.engines[w.random.IntN(len(w.engines))]
	if !w.hold(e.ID) {
		return "kill engine left out, " + e.ID + " is down", func() {}
	}
	e.Kill()
	killed := time.Now()
	return "kill engine " + e.ID, func() {
		if time.Since(killed) > lapse {
			w.site.Store.Delete("servers", e.ID)
		}
		e.Restart()
		w.unhold(e.ID)
	}
}

// drainEngine lists a target as leaving for a while.
func drainEngine(w *world) (string, func()) {
	e := w.engines[w.random.IntN(len(w.engines))]
	if !w.hold(e.ID) {
		return "drain engine left out, " + e.ID + " is down", func() {}
	}
	e.List("draining")
	return "drain engine " + e.ID, func() {
		e.List("ready")
		w.unhold(e.ID)
	}
}

func breakStreams(w *world) (string, func()) {
	e := w.engines[w.random.IntN(len(w.engines))]
	e.SetFaults(sims.EngineFaults{BreakAfter: 1 + w.random.IntN(8)})
	return "break streams of " + e.ID, func() { e.SetFaults(sims.EngineFaults{}) }
}

func slowService(w *world) (string, func()) {
	v := w.services[w.random.IntN(len(w.services))]
	v.SetFaults(sims.ServiceFaults{Delay: time.Second})
	return "slow service " + v.ID, func() { v.SetFaults(sims.ServiceFaults{}) }
}

func loseAnswers(w *world) (string, func()) {
	v := w.services[w.random.IntN(len(w.services))]
	f := []sims.ServiceFaults{{LoseAnswers: true}, {NotRun: true}, {Short: true}, {OtherID: true}}[w.random.IntN(4)]
	v.SetFaults(f)
	return fmt.Sprintf("service %s %+v", v.ID, f), func() { v.SetFaults(sims.ServiceFaults{}) }
}

// hold marks a target as being handled by a fault.
func (w *world) hold(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held[id] {
		return false
	}
	w.held[id] = true
	return true
}

func (w *world) unhold(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.held, id)
}
