package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

// Guards against a request that waits or is abandoned after the loss of a
// stage, because the only replacement has reached its adaptive limit.
func TestResumedRequestPassesAdaptiveLimit(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startStage(0, 6, 0, func(c *Config) { c.Limits.Sessions = Bounds{Initial: 1, Min: 1, Max: 2} })
	open := func(id string, resume bool) {
		tc.entry.send(ta, wire.Open{
			Request: id, Attempt: 2, Chain: []wire.Stage{ta.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1, Resume: resume,
		})
	}
	tc.newRequest("r", 1, ta).startAttempt()
	open("new", false)
	is.Equal(awaitMessage(tc, func(m wire.Refused) bool { return m.Request == "new" }).Reason, wire.RefusedFull)
	open("moved", true)
	is.Equal(awaitMessage(tc, func(m wire.Opened) bool { return m.Request == "moved" }).Attempt, 2)
	open("beyond", true)
	is.Equal(awaitMessage(tc, func(m wire.Refused) bool { return m.Request == "beyond" }).Reason, wire.RefusedFull) // the fixed maximum still applies
}

// Guards against a limit that falls when calls take longer than earlier ones, so
// that a plain service refuses calls. The duration of a call does not indicate a
// queue, so the limit of a plain service is always Max; Initial and Min apply to
// engines only.
func TestServiceLimitIsFixed(t *testing.T) {
	is := is.New(t)
	a := New(Config{Timer: timer.System{}, Limits: Limits{Sessions: Bounds{Initial: 8, Min: 2, Max: 64}}})
	for range 100 {
		a.meter.record(time.Millisecond, true)
		a.meter.record(time.Second, true)
		a.meter.endInterval(200 * time.Millisecond)
		is.Equal(a.updateLimit(), 64)
	}
}
