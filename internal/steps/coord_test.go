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

// Runs the scripts in testdata/coord*.txt. "> event" passes an event to the
// coordinator, "< action" expects one action. The comment in each file names the
// failure that it guards against.
func TestCoordScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/coord*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runCoordScript(t, name) })
	}
}

func runCoordScript(t *testing.T, name string) {
	is := is.New(t)
	b, err := os.ReadFile(name)
	is.NoErr(err)
	var (
		c    Coordinator
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
			p := Params{Request: "r", MaxRefusals: 3, MaxAttempts: 9, OpenTimeout: 1, StallTimeout: 3, RetryDelay: 2}
			p.Prompt = []uint32{101, 102, 103}
			p.MaxTokens = mustAtoi(f[1])
			var actions []Action
			c, actions = NewCoordinator(p)
			got = renderActions(actions)
		case ">":
			if len(got) > 0 {
				t.Fatalf("%s:%d: actions not expected: %q", name, line, got)
			}
			var actions []Action
			c, actions = c.Next(parseEvent(f[1:]))
			got = renderActions(actions)
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

func mustAtoi(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

func parseEvent(f []string) Event {
	switch f[0] {
	case "chosen":
		var chain []wire.Stage
		for _, name := range f[1:] {
			chain = append(chain, wire.Stage{Target: name})
		}
		return ChainChosen{Chain: chain}
	case "opened": // target attempt index next logFrom
		m := wire.Opened{Attempt: mustAtoi(f[2]), Index: mustAtoi(f[3]), Next: mustAtoi(f[4]), LogFrom: mustAtoi(f[5])}
		return MessageReceived{Target: f[1], Message: m}
	case "refused":
		return MessageReceived{Target: f[1], Message: wire.Refused{Attempt: mustAtoi(f[2])}}
	case "token": // attempt position value [end]
		return MessageReceived{Message: wire.Token{
			Attempt: mustAtoi(f[1]), Position: mustAtoi(f[2]), Value: uint32(mustAtoi(f[3])), End: len(f) > 4,
		}}
	case "failed":
		return MessageReceived{Message: wire.StageFailed{Attempt: mustAtoi(f[1]), Index: mustAtoi(f[2])}}
	case "stale":
		return MessageReceived{Target: f[1], Message: wire.Stale{Rejected: mustAtoi(f[2])}}
	case "lost":
		return LinkLost{Target: f[1]}
	case "relinked":
		return Relinked{Target: f[1]}
	case "fired":
		return TimerFired{Timer: mustAtoi(f[1])}
	case "deadline":
		return DeadlinePassed{}
	case "gone":
		return CallerGone{}
	}
	panic(f[0])
}

func renderActions(actions []Action) []string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case ChooseChain:
			var keep []string
			for _, st := range a.Chain {
				keep = append(keep, st.Target)
			}
			out = append(out, strings.Join(strings.Fields(fmt.Sprint("choose ", strings.Join(keep, ","),
				" dead ", sortedNames(a.Lost), " exclude ", sortedNames(a.Exclude))), " "))
		case SendMessage:
			out = append(out, renderSend(a))
		case Emit:
			out = append(out, fmt.Sprint("emit ", a.Value))
		case SetTimer:
			out = append(out, fmt.Sprintf("arm %d %d", a.Timer, a.After/time.Nanosecond))
		case Recovering:
			out = append(out, fmt.Sprint("recovering ", a.Attempt))
		case EndRequest:
			if a.Failure != nil {
				out = append(out, fmt.Sprint("end ", a.Failure.Code, " ", a.Failure.Outcome))
			} else {
				out = append(out, "end "+a.Reason)
			}
		}
	}
	return out
}

func renderSend(a SendMessage) string {
	to := a.Stage.Target
	switch m := a.Message.(type) {
	case wire.Open:
		return strings.TrimSpace(fmt.Sprintf("open %s %d %d %s", to, m.Attempt, m.Index, flagText(m.Fresh, "fresh")))
	case wire.Start:
		s := fmt.Sprintf("start %s %d %v %v emitted %d %s", to, m.Attempt, m.Cursors, m.Tokens, m.Emitted, flagText(m.Reset, "reset"))
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

func flagText(on bool, s string) string {
	if on {
		return s
	}
	return ""
}

func sortedNames(m map[string]bool) string {
	var out []string
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return strings.Join(out, ",")
}
