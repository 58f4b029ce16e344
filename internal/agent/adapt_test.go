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

// Guards against wrong measurements of steps and calls, and against a circuit
// breaker that blocks a working target or admits work to a failing one. The
// cases are in testdata/adapt.txtar.
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
					m.endInterval(200 * time.Millisecond)
				case "load":
					// One report interval in which all steps take the same time.
					m.isService = line.Bool("varied")
					m.record(line.Duration("took"), true)
					m.endInterval(200 * time.Millisecond)
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
					seconds(m.queueDelay).Round(time.Millisecond), seconds(m.stepTime).Round(time.Millisecond))}
			case "health":
				return []string{fmt.Sprintf("open %t", h.allowsWork(now))}
			}
			return nil
		}
	})
}

// linkCounts is a Dialer that counts the calls of Want minus those of Unwant
// by address.
type linkCounts map[string]int

// Want implements Dialer.
func (links linkCounts) Want(address string) { links[address]++ }

// Unwant implements Dialer.
func (links linkCounts) Unwant(address string) { links[address]-- }

// Peer implements Dialer.
func (links linkCounts) Peer(string) (link.Peer, bool) { return nil, false }

// Guards against links that are never closed, so that in time every agent is
// linked to every other, and against dialing again for each request: an unused
// link must stay open for idleLinkTimeout and then be closed.
func TestLinksLingerAndEnd(t *testing.T) {
	is := is.New(t)
	links, clock := linkCounts{}, timer.NewManual(time.Unix(0, 0))
	pool := newLinkPool(links, clock)
	pool.acquire("a")
	pool.acquire("a")
	pool.release("a")
	clock.Advance(2 * idleLinkTimeout)
	is.Equal(links["a"], 1)
	pool.release("a")
	clock.Advance(idleLinkTimeout / 2)
	pool.acquire("a")
	clock.Advance(2 * idleLinkTimeout)
	is.Equal(links["a"], 1)
	pool.release("a")
	clock.Advance(2 * idleLinkTimeout)
	is.Equal(links["a"], 0)
	pool.acquire("a")
	is.Equal(links["a"], 1)
}

// Guards against new work for an engine that hangs and therefore appears idle:
// it must get none until it answers again.
func TestHangingEngineIsClosed(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, time.Millisecond, func(c *Config) { c.Times.Step = 200 * time.Millisecond })
	var requests []*testRequest
	for _, id := range []string{"a", "b", "c"} {
		r := tc.newRequest(id, 40, ta)
		r.startAttempt()
		r.readTokens(1)
		requests = append(requests, r)
	}
	ta.engine.SetFaults(fengn.Faults{Hang: true})
	for _, r := range requests {
		awaitMessage(tc, func(m wire.StageFailed) bool { return m.Request == r.id })
	}
	is.True(!awaitMessage(tc, func(m wire.Load) bool { return !m.Ready }).Leaving)
	tc.entry.send(ta, wire.Open{Request: "d", Attempt: 1, Chain: []wire.Stage{ta.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1})
	is.Equal(awaitMessage(tc, func(m wire.Refused) bool { return m.Request == "d" }).Reason, wire.RefusedEngine)
	ta.engine.SetFaults(fengn.Faults{})
	tc.waitReady(ta)
	tc.newRequest("e", 1, ta).startAttempt()
}
