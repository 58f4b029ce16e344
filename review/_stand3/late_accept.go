package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"shallotcourse/platform/sims"
)

const (
	// acceptTime is the time after SIGTERM up to which the rule excuses requests that
	// are cut at the end.
	acceptTime = 3 * time.Second
	// lastSend is the latest time after acceptTime at which a late caller sends.
	lastSend  = 10 * time.Millisecond
	lateStep  = 200 * time.Microsecond
	steady    = 48
	rounds    = 8
	lateAfter = 2 * time.Second
	// streamEvents events at eventPause each last longer than the rest of graceTime.
	streamEvents = 150
	eventPause   = 40 * time.Millisecond
	timeBudget   = 20 * time.Second
)

// lateCall is a stream that a late caller requested.
type lateCall struct {
	id string
	// sent is the time between the end of the call that sent SIGTERM and the first byte of
	// the request, ended that until the end of the answer.
	sent, ended time.Duration
	status      int
	events      int
	err         error
}

// lateAccept stops gateways with SIGTERM while clients keep using their channels. The
// rule LOST is broken if a stream that was requested later than 3 s after the SIGTERM
// was passed on to an engine and its channel ends without a complete answer.
func lateAccept(folder string, trouble bool) (int, error) {
	out, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{site: sims.NewSite(), dir: dir, record: out}
	defer w.stopAll()
	w.site.SetLimits(sims.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, RouteTimeout: timeBudget})
	w.store, _ = w.site.Serve(w.site.Store)
	w.site.WriteConfig(apiKey)
	w.site.AddService("app-1", "x")
	w.site.AddService("app-2", "x")
	engines := []*sims.Engine{}
	for i := range 3 {
		engines = append(engines, w.site.AddEngine(fmt.Sprintf("engine-%d", i+1), "x", sims.Model{Layers: 8, Token: eventPause, Slots: 192}))
	}
	if err := w.addGateways(3); err != nil {
		return exitNotRun, err
	}
	for _, g := range w.gateways {
		if err := w.start(g); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.awaitStream(); err != nil {
		return exitNotRun, err
	}
	for round := range rounds {
		g := w.gateways[round%len(w.gateways)]
		out.printf("round %d: %s, SIGTERM: %v", round+1, g.name, trouble)
		calls, err := w.stopAmongCallers(g, round, trouble)
		if err != nil {
			return exitNotRun, err
		}
		ran := map[string]string{}
		for _, e := range engines {
			for _, a := range e.Requests() {
				ran[a.ID] = e.ID
			}
		}
		broken := 0
		for _, c := range calls {
			at := ran[c.id]
			lost := c.err != nil && at != "" && c.sent > acceptTime
			out.printf("  %s sent %.6f s after SIGTERM, ran at %q, status %d, %d events, channel ended at %.3f s, error %v, lost %v",
				c.id, c.sent.Seconds(), at, c.status, c.events, c.ended.Seconds(), c.err, lost)
			if lost {
				broken++
			}
		}
		if broken > 0 {
			out.printf("rule LOST broken: %d streams, requested later than %s after SIGTERM, were passed on and cut", broken, acceptTime)
			return exitBroken, nil
		}
		if trouble {
			if err := w.start(g); err != nil {
				return exitNotRun, err
			}
		}
	}
	out.printf("rule LOST held")
	return exitHeld, nil
}

// awaitStream waits until a stream is served by each gateway.
func (w *world) awaitStream() error {
	for _, g := range w.gateways {
		served := false
		for end := time.Now().Add(startTimeout); time.Now().Before(end) && !served; time.Sleep(50 * time.Millisecond) {
			c, err := openChannel(g.listen)
			if err != nil {
				continue
			}
			_, _ = c.conn.Write([]byte(head("GET", "/draft/a?events=2", fmt.Sprintf("first-%s-%d", g.name, time.Now().UnixNano()), timeBudget)))
			status, _, _, err := c.answer()
			served = err == nil && status == 200
			_ = c.conn.Close()
		}
		if !served {
			return fmt.Errorf("%s serves no stream", g.name)
		}
	}
	return nil
}

// stopAmongCallers sends SIGTERM to a gateway while steady callers use it, and lets late
// callers request streams on channels that they have kept open.
func (w *world) stopAmongCallers(g *gateway, round int, trouble bool) ([]lateCall, error) {
	stop := make(chan struct{})
	answers := &tally{counts: map[string]int{}}
	var callers sync.WaitGroup
	for n := range steady {
		callers.Go(func() { callSteadily(g, fmt.Sprintf("steady-%d-%d", round, n), answers, stop) })
	}
	time.Sleep(time.Second)
	var late []*channel
	for range int(lastSend / lateStep) {
		c, err := openChannel(g.listen)
		if err != nil {
			return nil, err
		}
		late = append(late, c)
	}
	if trouble {
		if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	stopped := time.Now()
	results := make([]lateCall, len(late))
	var calls sync.WaitGroup
	for i, c := range late {
		calls.Go(func() {
			defer func() { _ = c.conn.Close() }()
			r := &results[i]
			r.id = fmt.Sprintf("late-%d-%d", round, i)
			text := []byte(head("GET", fmt.Sprintf("/draft/a?events=%d", streamEvents), r.id, timeBudget))
			time.Sleep(time.Until(stopped.Add(acceptTime + time.Duration(i)*lateStep)))
			r.sent = time.Since(stopped)
			if _, r.err = c.conn.Write(text); r.err == nil {
				var body string
				r.status, body, _, r.err = c.answer()
				r.events = countEvents(body)
			}
			r.ended = time.Since(stopped)
		})
	}
	calls.Wait()
	close(stop)
	callers.Wait()
	w.record.printf("  steady callers: %s", answers.String())
	if trouble {
		select {
		case <-g.exited:
		case <-time.After(graceTime + lateAfter):
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			<-g.exited
		}
	}
	return results, nil
}

// callSteadily sends one lookup after another to a gateway, as long as it accepts
// channels.
func callSteadily(g *gateway, name string, answers *tally, stop <-chan struct{}) {
	var c *channel
	defer func() {
		if c != nil {
			_ = c.conn.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = openChannel(g.listen); err != nil {
				return
			}
		}
		_, err := c.conn.Write([]byte(head("GET", "/look/a", fmt.Sprintf("%s-%d", name, n), 4*time.Second)))
		status, closes := 0, true
		if err == nil {
			status, _, closes, err = c.answer()
		}
		answers.add(status, err)
		if err != nil || closes {
			_ = c.conn.Close()
			c = nil
		}
	}
}

// tally counts answers by their status.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(status int, err error) {
	key := fmt.Sprintf("status %d", status)
	if err != nil {
		key = "no complete answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[key]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}
