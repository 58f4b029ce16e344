package cmds

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"shallotcourse/internal/fleet"
)

// Guards against an invalid settings file that passes the check, and against a
// check that stops at the first problem.
func TestConfigScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/config",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"check": func(ts *testscript.TestScript, neg bool, args []string) {
				root := NewRoot()
				args[0] = ts.MkAbs(args[0])
				root.SetArgs(append([]string{"config", "check"}, args...))
				root.SetOut(ts.Stdout())
				err := root.Execute()
				if err != nil {
					Report(ts.Stderr(), err)
				}
				if (err != nil) != neg {
					ts.Fatalf("unexpected result: %v", err)
				}
			},
		},
	})
}

// noList marks a second before any instance list has been received.
const noList fleet.State = "NoList"

// Guards against an agent that ignores the instance list, and against one that
// drains because of the row of an earlier incarnation with its name.
func TestListWatch(t *testing.T) {
	for _, c := range []struct {
		name   string
		states []fleet.State // one a second
		want   int           // the first second at which the agent leaves, or -1
	}{
		{"leaves after it was live", []fleet.State{fleet.Live, fleet.Live, fleet.Leaving}, 2},
		{"leaves after it was not listed", []fleet.State{"", fleet.Leaving}, 1},
		{"row of the predecessor", []fleet.State{fleet.Leaving, fleet.Leaving, fleet.Live}, -1},
		{"predecessor's row after no list", []fleet.State{noList, fleet.Leaving}, -1},
		{"row that stays", repeat(fleet.Leaving, 40), 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			detector := leaveDetector{instance: "a", startedAt: start}
			got := -1
			for i, s := range c.states {
				view := fleet.View{Instances: []fleet.Instance{{Name: "a", State: s}}}
				if s == noList {
					view = fleet.View{ListAge: -1}
				}
				if detector.shouldLeave(view, start.Add(time.Duration(i)*time.Second)) && got < 0 {
					got = i
				}
			}
			is.Equal(got, c.want)
		})
	}
}

func repeat(s fleet.State, n int) []fleet.State {
	out := make([]fleet.State, n)
	for i := range out {
		out[i] = s
	}
	return out
}
