package steps

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/wire"
)

// Runs the scripts in testdata/coord*.txt. "> event" feeds the coordinator,
// "< action" expects one action; the comment in each file names the failure
// that it guards against.
func TestCoordScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/coord*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runCoord(t, name) })
	}
}

func runCoord(t *testing.T, name string) {
	is := is.New(t)
	b, err := os.ReadFile(name)
	is.NoErr(err)
	var (
		c    Coord
		got  []string
		line int
	)
	for _, l := range strings.Split(string(b), "\n") {
		line++
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		switch f[0] {
		case "plan":
			p := Plan{Request: "r", MaxRefusals: 3, MaxAttempts: 9, OpenTimeout: 1, StallTimeout: 3, RetryDelay: 2}
			p.Prompt = []uint32{101, 102, 103}
			p.MaxTokens = num(f[1])
			var actions []Action
			c, actions = NewCoord(p)
			got = render(actions)
		case ">":
			if len(got) > 0 {
				t.Fatalf("%s:%d: actions not expected: %q", name, line, got)
			}
			var actions []Action
			c, actions = c.Next(parse(f[1:]))
			got = render(actions)
		case "<":
			want := strings.Join(f[1:], " ")
			if len(got) == 0 || got[0] != want {
				t.Fatalf("%s:%d: want %q, got %q", name, line, want, got)
			}
			got = got[1:]
		}
	}
	is.Equal(len(got), 0) // all actions are expected
}

func num(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

func parse(f []string) Event {
	switch f[0] {
	case "chosen":
		var chain []wire.Stage
		for _, name := range f[1:] {
			chain = append(chain, wire.Stage{Target: name})
		}
		return Chosen{Chain: chain}
	case "opened": // target attempt index next logFrom
		m := wire.Opened{Attempt: num(f[2]), Index: num(f[3]), Next: num(f[4]), LogFrom: num(f[5])}
		return Received{Target: f[1], Message: m}
	case "refused":
		return Received{Target: f[1], Message: wire.Refused{Attempt: num(f[2])}}
	case "token": // attempt position value [end]
		return Received{Message: wire.Token{
			Attempt: num(f[1]), Position: num(f[2]), Value: uint32(num(f[3])), End: len(f) > 4,
		}}
	case "failed":
		return Received{Message: wire.StageFailed{Attempt: num(f[1]), Index: num(f[2])}}
	case "stale":
		return Received{Target: f[1], Message: wire.Stale{Rejected: num(f[2])}}
	case "lost":
		return LinkLost{Target: f[1]}
	case "relinked":
		return Relinked{Target: f[1]}
	case "fired":
		return Fired{Timer: num(f[1])}
	case "deadline":
		return DeadlinePassed{}
	case "gone":
		return CallerGone{}
	}
	panic(f[0])
}

func render(actions []Action) []string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Choose:
			var keep []string
			for _, st := range a.Chain {
				keep = append(keep, st.Target)
			}
			out = append(out, strings.Join(strings.Fields(fmt.Sprint("choose ", strings.Join(keep, ","),
				" dead ", names(a.Dead), " exclude ", names(a.Exclude))), " "))
		case Send:
			out = append(out, renderSend(a))
		case Emit:
			out = append(out, fmt.Sprint("emit ", a.Value))
		case Arm:
			out = append(out, fmt.Sprintf("arm %d %d", a.Timer, a.After/time.Nanosecond))
		case Recovering:
			out = append(out, fmt.Sprint("recovering ", a.Attempt))
		case End:
			if a.Failure != nil {
				out = append(out, fmt.Sprint("end ", a.Failure.Code, " ", a.Failure.Outcome))
			} else {
				out = append(out, "end "+a.Reason)
			}
		}
	}
	return out
}

func renderSend(a Send) string {
	to := a.Stage.Target
	switch m := a.Message.(type) {
	case wire.Open:
		return strings.TrimSpace(fmt.Sprintf("open %s %d %d %s", to, m.Attempt, m.Index, mark(m.Fresh, "fresh")))
	case wire.Start:
		s := fmt.Sprintf("start %s %d %v %v emitted %d %s", to, m.Attempt, m.Cursors, m.Tokens, m.Emitted, mark(m.Reset, "reset"))
		return strings.TrimSpace(s)
	case wire.Cancel:
		return fmt.Sprintf("cancel %s %d", to, m.Attempt)
	case wire.Finished:
		return "finished " + to
	case wire.Resync:
		return fmt.Sprintf("resync %s %d %d", to, m.Attempt, m.Next)
	}
	return fmt.Sprintf("%T", a.Message)
}

func mark(on bool, s string) string {
	if on {
		return s
	}
	return ""
}

func names(m map[string]bool) string {
	var out []string
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return strings.Join(out, ",")
}
