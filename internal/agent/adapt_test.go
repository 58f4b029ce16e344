package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/script"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

// Guards the measures and the health of a target in the cases of
// testdata.
func TestAdaptScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		m, h, now := &meter{}, &health{}, time.Unix(0, 0)
		return func(line script.Line) []string {
			for range max(1, line.Int("times")) {
				switch line.Name {
				case "step":
					m.begin()
					m.end(line.Duration("took"), max(1, line.Int("count")), !line.Bool("failed"))
				case "begin":
					m.begin()
				case "report":
					m.report(200 * time.Millisecond)
				case "load":
					// One report of steps that all take the same time.
					m.varied = line.Bool("varied")
					m.record(line.Duration("took"), true)
					m.report(200 * time.Millisecond)
				case "failure":
					h.record(now, fault.New(fault.Code(line.Text("code")), "failure"))
				case "success":
					h.record(now, nil)
				case "pass":
					now = now.Add(line.Duration("time"))
				case "show":
				default:
					t.Fatalf("unknown input %s", line.Name)
				}
			}
			switch line.Text("of") {
			case "meter":
				return []string{fmt.Sprintf("waiting %d delay %s step %s", m.waiting,
					seconds(m.delay).Round(time.Millisecond), seconds(m.step).Round(time.Millisecond))}
			case "health":
				return []string{fmt.Sprintf("open %t", h.open(now))}
			}
			return nil
		}
	})
}

// wants counts what a dialer is asked for.
type wants map[string]int

// Want implements Dialer.
func (w wants) Want(address string) { w[address]++ }

// Unwant implements Dialer.
func (w wants) Unwant(address string) { w[address]-- }

// Peer implements Dialer.
func (w wants) Peer(string) (link.Peer, bool) { return nil, false }

// Guards against links that become all-to-all over time, and against a dial
// for each request.
func TestLinksLingerAndEnd(t *testing.T) {
	is := is.New(t)
	w, clock := wants{}, timer.NewManual(time.Unix(0, 0))
	d := newDials(w, clock)
	d.acquire("a")
	d.acquire("a")
	d.release("a")
	clock.Advance(2 * linger)
	is.Equal(w["a"], 1)
	d.release("a")
	clock.Advance(linger / 2)
	d.acquire("a")
	clock.Advance(2 * linger)
	is.Equal(w["a"], 1)
	d.release("a")
	clock.Advance(2 * linger)
	is.Equal(w["a"], 0)
	d.acquire("a")
	is.Equal(w["a"], 1)
}

// Guards against an engine that hangs and looks idle: it gets no new work
// until it answers again.
func TestHangingEngineIsClosed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.stage(0, 6, time.Millisecond, func(c *Config) { c.Times.Step = 200 * time.Millisecond })
	var requests []*request
	for _, id := range []string{"a", "b", "c"} {
		r := w.request(id, 40, p)
		r.begin()
		r.read(1)
		requests = append(requests, r)
	}
	p.engine.SetFaults(fengn.Faults{Hang: true})
	for _, r := range requests {
		next(w, func(m wire.StageFailed) bool { return m.Request == r.id })
	}
	is.True(!next(w, func(m wire.Load) bool { return !m.Ready }).Leaving)
	w.entry.send(p, wire.Open{Request: "d", Attempt: 1, Chain: []wire.Stage{p.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1})
	is.Equal(next(w, func(m wire.Refused) bool { return m.Request == "d" }).Reason, wire.RefusedEngine)
	p.engine.SetFaults(fengn.Faults{})
	w.waitReady(p)
	w.request("e", 1, p).begin()
}
