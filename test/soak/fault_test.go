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
	// faultPause is the mean time between two faults, and faultLeast and
	// faultMost bound how long one lasts, so that faults overlap and some last
	// longer than keys live without proof.
	faultPause = 600 * time.Millisecond
	faultLeast = 100 * time.Millisecond
	faultMost  = 8 * time.Second
	// delayMost bounds the delay of a link in each direction.
	delayMost = 500 * time.Millisecond
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
	cut(links), silence(links), delay(links), oneWay(links), cut(store), silence(store), oneWay(store),
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

// alone does something to a process or target unless another such fault is at
// work on it.
func (w *world) alone(what, name string, do func() func()) (string, func()) {
	w.mu.Lock()
	held := w.held[name]
	w.held[name] = true
	w.mu.Unlock()
	if held {
		return what + " " + name + " left out, another fault is at work on it", func() {}
	}
	undo := do()
	return what + " " + name, func() {
		undo()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.held, name)
	}
}

func killGateway(w *world) (string, func()) {
	g := w.someGateway()
	return w.alone("kill", g.name, func() func() {
		g.kill()
		return func() { g.start(w.fail, w.log) }
	})
}

func stopGateway(w *world) (string, func()) {
	g := w.someGateway()
	return w.alone("stop", g.name, func() func() {
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
	g := w.someGateway()
	return w.alone("pause", g.name, func() func() {
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT) }
	})
}

// way is a relay of a gateway.
type way func(g *gateway) (string, *relay.Relay)

func links(g *gateway) (string, *relay.Relay) { return "links of " + g.name, g.links }
func store(g *gateway) (string, *relay.Relay) { return "store of " + g.name, g.store }

func cut(of way) fault {
	return func(w *world) (string, func()) {
		name, r := of(w.someGateway())
		r.Refuse(true)
		r.Cut()
		return "cut " + name, func() { r.Refuse(false) }
	}
}

func silence(of way) fault {
	return func(w *world) (string, func()) {
		name, r := of(w.someGateway())
		r.Silence()
		return "silence " + name, func() {}
	}
}

func delay(of way) fault {
	return func(w *world) (string, func()) {
		name, r := of(w.someGateway())
		d := time.Duration(w.random.Int64N(int64(delayMost)))
		r.Delay(d)
		return fmt.Sprintf("delay %s by %s", name, d), func() { r.Delay(0) }
	}
}

func oneWay(of way) fault {
	return func(w *world) (string, func()) {
		name, r := of(w.someGateway())
		to := w.random.IntN(2) == 0
		r.OneWay(to, true)
		return fmt.Sprintf("hold %s, towards its end %v", name, to), func() { r.OneWay(to, false) }
	}
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

func (w *world) someEngine() *sims.Engine { return w.engines[w.random.IntN(len(w.engines))] }

// killEngine ends a target without a word; its entry lapses, and it comes back
// empty.
func killEngine(w *world) (string, func()) {
	e := w.someEngine()
	return w.alone("kill engine", e.ID, func() func() {
		e.Kill()
		killed := time.Now()
		return func() {
			if time.Since(killed) > lapse {
				w.site.Store.Delete("servers", e.ID)
			}
			e.Restart()
		}
	})
}

// drainEngine lists a target as leaving for a while.
func drainEngine(w *world) (string, func()) {
	e := w.someEngine()
	return w.alone("drain engine", e.ID, func() func() {
		e.WriteRow("draining")
		return func() { e.WriteRow("ready") }
	})
}

func breakStreams(w *world) (string, func()) {
	e := w.someEngine()
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
