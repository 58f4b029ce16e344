package steps

import (
	"encoding/binary"
	"fmt"
	"testing"

	"shallotcourse/internal/script"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// Guards against a change of the decisions in the cases of testdata, each of
// which names the failure it stands for.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		x := NewSession(Limits{LogBytes: 10 * 8, HoldPositions: 4, ChunkPositions: 8})
		return func(l script.Line) []string {
			var out []string
			for _, d := range input(t, x, l) {
				out = append(out, describe(d))
			}
			return out
		}
	})
}

func input(t *testing.T, x *Session, l script.Line) []Decision {
	attempt, at := l.Int("attempt"), l.Int("at")
	switch l.Name {
	case "open":
		chain := make([]wire.Stage, 3)
		for i := range chain {
			chain[i].Layers = resrc.LayerRange{From: i + l.Int("shift"), To: i + 1 + l.Int("shift")}
		}
		return x.Open(wire.Open{
			Request: "r", Attempt: attempt, Index: l.Int("index"), Chain: chain, Fresh: l.Bool("fresh"),
			Prompt: make([]uint32, 4), MaxTokens: 8,
		})
	case "opened":
		return x.EngineOpened(l.Int("generation"), l.Int("next"))
	case "failed":
		return x.EngineFailed(l.Int("generation"), "engine")
	case "start":
		tokens := make([]uint32, l.Int("tokens"))
		return x.Start(wire.Start{Attempt: attempt, Cursors: l.Ints("cursors"), Reset: l.Bool("reset"), Tokens: tokens, Emitted: l.Int("emitted")})
	case "step":
		count := max(1, l.Int("count"))
		return x.Step(wire.Step{Attempt: attempt, Index: x.Index(), Position: at, Count: count, Data: make([]byte, 8*count)})
	case "token":
		return x.Token(wire.Token{Attempt: attempt, Position: at, Value: 7, End: l.Bool("end")})
	case "ran":
		return x.Ran(l.Int("generation"), result(x, at, max(1, l.Int("count"))))
	case "truncated":
		return x.Truncated(l.Int("generation"))
	case "resync":
		return x.Resync(wire.Resync{Attempt: attempt, Next: l.Int("next")})
	case "successor-up":
		return x.SuccessorUp()
	case "successor-lost":
		return x.SuccessorLost("lost")
	case "successor-stale":
		return x.SuccessorStale(wire.Stale{Attempt: attempt, Rejected: l.Int("rejected")})
	case "entry-up":
		return x.EntryUp()
	case "cancel":
		return x.Cancel(attempt)
	}
	t.Fatalf("unknown input %s", l.Name)
	return nil
}

// result is an engine answer; the last stage samples from the end of the
// prompt on.
func result(x *Session, at, count int) Result {
	r := Result{Position: at, Count: count}
	for p := at; p < at+count; p++ {
		r.Data = binary.LittleEndian.AppendUint64(r.Data, uint64(p))
		if x.Last() && p >= 3 {
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
	case Run:
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
	case Free:
		return "Free"
	}
	return "unknown"
}
