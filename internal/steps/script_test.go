package steps

import (
	"encoding/binary"
	"fmt"
	"testing"

	"shallotcourse/internal/script"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// Runs the scripts in testdata/*.txtar against a Session. The comment in each
// case names the failure that it guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		session := NewSession(Limits{LogBytes: 10 * 8, HoldPositions: 4, ChunkPositions: 8})
		return func(l script.Line) []string {
			var out []string
			for _, d := range handleInput(t, session, l) {
				out = append(out, describe(d))
			}
			return out
		}
	})
}

func handleInput(t *testing.T, session *Session, l script.Line) []Decision {
	attempt, at := l.Int("attempt"), l.Int("at")
	switch l.Name {
	case "open":
		chain := make([]wire.Stage, 3)
		for i := range chain {
			chain[i].Layers = resrc.LayerRange{From: i + l.Int("shift"), To: i + 1 + l.Int("shift")}
		}
		return session.Open(wire.Open{
			Request: "r", Attempt: attempt, Index: l.Int("index"), Chain: chain, Fresh: l.Bool("fresh"),
			Prompt: make([]uint32, 4), MaxTokens: 8,
		})
	case "opened":
		return session.EngineOpened(l.Int("generation"), l.Int("next"))
	case "failed":
		return session.EngineFailed(l.Int("generation"), "engine")
	case "start":
		tokens := make([]uint32, l.Int("tokens"))
		return session.Start(wire.Start{Attempt: attempt, Cursors: l.Ints("cursors"), Reset: l.Bool("reset"), Tokens: tokens, Emitted: l.Int("emitted")})
	case "step":
		count := max(1, l.Int("count"))
		return session.Step(wire.Step{Attempt: attempt, Index: session.Index(), Position: at, Count: count, Data: make([]byte, 8*count)})
	case "token":
		return session.Token(wire.Token{Attempt: attempt, Position: at, Value: 7, End: l.Bool("end")})
	case "ran":
		return session.StepDone(l.Int("generation"), engineResult(session, at, max(1, l.Int("count"))))
	case "truncated":
		return session.Truncated(l.Int("generation"))
	case "resync":
		return session.Resync(wire.Resync{Attempt: attempt, Next: l.Int("next")})
	case "successor-up":
		return session.SuccessorRelinked()
	case "successor-lost":
		return session.SuccessorLost("lost")
	case "successor-stale":
		return session.SuccessorStale(wire.Stale{Attempt: attempt, Rejected: l.Int("rejected")})
	case "entry-up":
		return session.EntryRelinked()
	case "cancel":
		return session.Cancel(attempt)
	}
	t.Fatalf("unknown input %s", l.Name)
	return nil
}

// engineResult returns a result of the engine. The last stage samples a token from
// each position from the end of the prompt on.
func engineResult(session *Session, at, count int) Result {
	r := Result{Position: at, Count: count}
	for p := at; p < at+count; p++ {
		r.Data = binary.LittleEndian.AppendUint64(r.Data, uint64(p))
		if session.Last() && p >= 3 {
			r.Tokens = append(r.Tokens, Sampled{Position: p + 1, Value: uint32(p)})
		}
	}
	return r
}

func describe(d Decision) string {
	switch d := d.(type) {
	case OpenEngine:
		return fmt.Sprintf("OpenEngine generation=%d", d.Generation)
	case CloseEngine:
		return fmt.Sprintf("CloseEngine generation=%d", d.Generation)
	case Truncate:
		return fmt.Sprintf("Truncate at=%d", d.Position)
	case RunStep:
		return fmt.Sprintf("Run at=%d count=%d bytes=%d", d.Position, d.Count, len(d.Data))
	case SendOpened:
		return fmt.Sprintf("SendOpened attempt=%d next=%d log=%d", d.Opened.Attempt, d.Opened.Next, d.Opened.LogFrom)
	case SendRefused:
		return fmt.Sprintf("SendRefused attempt=%d %s", d.Refused.Attempt, d.Refused.Reason)
	case SendStep:
		return fmt.Sprintf("SendStep attempt=%d index=%d at=%d count=%d", d.Step.Attempt, d.Step.Index, d.Step.Position, d.Step.Count)
	case SendToken:
		return fmt.Sprintf("SendToken attempt=%d at=%d entry=%t first=%t", d.Token.Attempt, d.Token.Position, d.Entry, d.ToFirst)
	case SendFailed:
		return fmt.Sprintf("SendFailed attempt=%d index=%d", d.Failed.Attempt, d.Failed.Index)
	case SendStale:
		return fmt.Sprintf("SendStale attempt=%d rejected=%d", d.Stale.Attempt, d.Stale.Rejected)
	case DropSession:
		return "Free"
	}
	return "unknown"
}
