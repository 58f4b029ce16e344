package once

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/script"
	"shallotcourse/internal/wire"
)

// Runs the scripts in testdata/claim against ClaimResolver. A comment in a case
// names the failure that it guards against.
func TestClaimScripts(t *testing.T) {
	script.Run(t, "testdata/claim/*.txtar", func(t *testing.T) func(script.Line) []string {
		var s ClaimResolver
		return func(l script.Line) []string {
			var step ClaimStep
			if l.Name == "begin" {
				s, step = Begin(Claim{Nonce: "mine", Digest: "same"})
			} else {
				s, step = s.Next(parseClaimEvent(t, l))
			}
			return []string{renderStep(t, step)}
		}
	})
}

func parseClaimEvent(t *testing.T, l script.Line) ClaimEvent {
	switch l.Name {
	case "written":
		return Written{}
	case "refused":
		return WriteConflict{}
	case "lost":
		return WriteLost{}
	case "absent":
		return RowAbsent{}
	case "down":
		return TableUnavailable{}
	case "silent":
		return AgentUnreachable{}
	case "gone":
		return AgentEnded{}
	case "waited":
		return Waited{}
	case "expired":
		return Expired{}
	case "said":
		nonce := "old"
		if n := l.Text("nonce"); n != "" {
			nonce = n
		}
		return AgentAnswered{wire.Outcome{Nonce: nonce, State: wire.OutcomeState(l.Text("state"))}}
	case "found":
		digest := "same"
		if d := l.Text("digest"); d != "" {
			digest = d
		}
		return RowFound{Claim{
			Nonce: l.Text("nonce"), State: ClaimState(l.Text("state")), Digest: digest, BodyOmitted: l.Bool("omitted"),
		}, uint64(l.Int("version"))}
	}
	t.Fatalf("unknown event %q", l.Name)
	return nil
}

func renderStep(t *testing.T, step ClaimStep) string {
	switch s := step.(type) {
	case ReadRow:
		return "read"
	case WriteRow:
		return fmt.Sprintf("write %s %s at %d", s.Claim.Nonce, s.Claim.State, s.Version)
	case QueryAgent:
		return "ask " + s.Claim.Nonce
	case Wait:
		return "wait"
	case Proceed:
		return "proceed " + s.Claim.Nonce
	case Return:
		return "return " + s.Claim.Nonce
	case Fail:
		return fmt.Sprintf("fail %s %s", s.Failure.Code, s.Failure.Outcome)
	}
	t.Fatalf("unknown step %T", step)
	return ""
}

// Guards against two keys or two calls that are taken for the same one, against
// a claim that changes when it is encoded and decoded, and against a stored body
// beyond the limit.
func TestClaimRow(t *testing.T) {
	is := is.New(t)
	is.True(ClaimKey("a/b", "c") != ClaimKey("a", "b/c"))
	is.True(Digest("POST", "/a", []byte("b")) != Digest("POST", "/ab", nil))
	c := Claim{Nonce: "n", State: ClaimOpen}.WithOutcome(wire.Outcome{State: wire.OutcomeDone, Status: 201, Body: []byte("x")})
	b, err := EncodeClaim(c)
	is.NoErr(err)
	got, err := DecodeClaim(b)
	is.NoErr(err)
	is.Equal(got, c)
	large := Claim{}.WithOutcome(wire.Outcome{State: wire.OutcomeDone, Body: make([]byte, MaxStoredBytes+1)})
	is.True(large.BodyOmitted && large.Body == nil)
	_, err = DecodeClaim([]byte("{"))
	is.Equal(fault.As(err).Outcome, fault.Unknown)
}
