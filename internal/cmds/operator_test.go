package cmds

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/opapi"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

type (
	// entryStub serves the operator API. answersToLose is the number of
	// upcoming writes whose response is dropped.
	entryStub struct {
		store         *store.Store
		server        *httptest.Server
		answersToLose atomic.Int64
	}

	operatorEnv struct {
		platform *fplat.Platform
		entries  map[string]*entryStub
	}
)

// TestOperatorScripts guards against commands that report something other than
// what happened. Each script begins with the failure it guards against.
func TestOperatorScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/operator",
		Setup: func(e *testscript.Env) error {
			w := &operatorEnv{platform: fplat.New(timer.System{}), entries: map[string]*entryStub{}}
			server := httptest.NewServer(w.platform)
			e.Defer(server.Close)
			var urls []string
			for _, name := range []string{"entry-1", "entry-2"} {
				stub := newEntryStub(name, server.URL)
				e.Defer(stub.server.Close)
				w.entries[name] = stub
				urls = append(urls, stub.server.URL)
			}
			e.Setenv(entriesVariable, strings.Join(urls, ","))
			e.Setenv(operatorKeyVariable, "key-of-asta")
			e.Setenv("ENTRY_2", urls[1])
			e.Values["world"] = w
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl": ctl, "platform": setPlatform, "lose": loseAnswers, "down": takeDown, "refresh": refresh,
		},
	})
}

func newEntryStub(name, platformURL string) *entryStub {
	s := store.New(plat.NewClient(platformURL).Table)
	e := &entryStub{store: s}
	h := opapi.New(opapi.Options{
		Store: s, Sync: store.NewSync(s),
		Operators: []opapi.Operator{{Name: "jon", KeyHash: opapi.HashKey("key-of-jon")}, {Name: "asta", KeyHash: opapi.HashKey("key-of-asta")}},
		Self:      wire.Hello{Instance: name, Role: wire.RoleEntry, DataCentre: "hafnar-b"},
	})
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && e.answersToLose.Add(-1) >= 0 {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	return e
}

// ctl runs an operator command.
func ctl(ts *testscript.TestScript, neg bool, args []string) {
	root := &cobra.Command{Use: "shallotcourse", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(OperatorCommands()...)
	for i, arg := range args {
		if i > 0 && args[i-1] == "-f" {
			args[i] = ts.MkAbs(arg)
		}
	}
	root.SetArgs(withEnvironment(ts, args))
	root.SetOut(ts.Stdout())
	err := root.ExecuteContext(context.Background())
	if err != nil {
		_, _ = ts.Stderr().Write([]byte(err.Error() + "\n"))
	}
	if (err != nil) != neg {
		ts.Fatalf("unexpected result of %v: %v", args, err)
	}
}

// withEnvironment passes the script's environment as flags, since the
// environment of the test process is shared by parallel scripts.
func withEnvironment(ts *testscript.TestScript, args []string) []string {
	joined := strings.Join(args, " ")
	if !strings.Contains(joined, "--entry") {
		args = append(args, "--entry", ts.Getenv(entriesVariable))
	}
	if !strings.Contains(joined, "--key") {
		args = append(args, "--key", ts.Getenv(operatorKeyVariable))
	}
	return args
}

func setPlatform(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value("world").(*operatorEnv).platform.SetFaults(fplat.Faults{Outage: args[0] == "outage"})
}

func loseAnswers(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	ts.Value("world").(*operatorEnv).entries[args[0]].answersToLose.Store(n)
}

func takeDown(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value("world").(*operatorEnv).entries[args[0]].server.Close()
}

func refresh(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value("world").(*operatorEnv).entries[args[0]].store.Refresh(context.Background()))
}
