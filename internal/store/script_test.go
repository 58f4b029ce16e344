package store

import (
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

type (
	// skewedClock is the system clock plus an offset that scripts increase.
	skewedClock struct {
		timer.System
		offset atomic.Int64
	}

	// process is a simulated process: a store and its sync with peers.
	process struct {
		store *Store
		sync  *Sync
	}

	// directPeer is one end of an in-memory link. It delivers each message to
	// the other process before Send returns.
	directPeer struct {
		hello   func() wire.Hello
		deliver func(m wire.Message)
	}

	// scriptEnv is the state of one script: the platform, the processes by name,
	// and the links by the names of their two processes.
	scriptEnv struct {
		clock    *skewedClock
		platform *fplat.Platform
		server   *httptest.Server
		procs    map[string]*process
		links    map[string][2]*directPeer
	}
)

func (c *skewedClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (p *directPeer) Hello() wire.Hello     { return p.hello() }
func (p *directPeer) Close(error)           {}
func (p *directPeer) Done() <-chan struct{} { return nil }
func (p *directPeer) Send(m wire.Message) error {
	b, err := wire.Encode(m)
	if err != nil {
		return err
	}
	decoded, err := wire.Decode(b)
	if err == nil {
		p.deliver(decoded)
	}
	return err
}

// TestScripts guards against lost updates, wrong outcomes after lost answers,
// reverted changes, and processes that become ready before they know the
// configuration. Each file in testdata says which failure it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			w := &scriptEnv{clock: &skewedClock{}, procs: map[string]*process{}, links: map[string][2]*directPeer{}}
			w.platform = fplat.New(w.clock)
			w.server = httptest.NewServer(w.platform)
			e.Defer(w.server.Close)
			e.Values["world"] = w
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"proc": scriptCommand((*scriptEnv).proc), "put": scriptCommand((*scriptEnv).put), "delete": scriptCommand((*scriptEnv).remove),
			"race": scriptCommand((*scriptEnv).race), "faults": scriptCommand((*scriptEnv).faults), "refresh": scriptCommand((*scriptEnv).refresh),
			"link": scriptCommand((*scriptEnv).link), "unlink": scriptCommand((*scriptEnv).unlink), "heartbeat": scriptCommand((*scriptEnv).heartbeat),
			"push": scriptCommand((*scriptEnv).push), "offer": scriptCommand((*scriptEnv).offer), "elapse": scriptCommand((*scriptEnv).elapse),
			"expect": scriptCommand((*scriptEnv).expect), "ready": scriptCommand((*scriptEnv).ready), "changes": scriptCommand((*scriptEnv).changes),
		},
	})
}

// scriptCommand adapts a method of scriptEnv to a testscript command: "!" expects
// a failure, and a last argument of the form "=CODE/OUTCOME" expects that failure.
func scriptCommand(f func(*scriptEnv, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		want := ""
		if n := len(args); n > 0 && strings.HasPrefix(args[n-1], "=") {
			want, args = args[n-1][1:], args[:n-1]
		}
		err := f(ts.Value("world").(*scriptEnv), args)
		if (err != nil) != neg {
			ts.Fatalf("unexpected result: %v", err)
		}
		if err != nil && want != "" {
			e := fault.As(err)
			if got := string(e.Code) + "/" + string(e.Outcome); got != want {
				ts.Fatalf("got %s, want %s: %v", got, want, err)
			}
		}
	}
}

// The comments on the methods below give the syntax of the script commands that
// they implement, and after a colon what the command does.

// proc NAME : starts a process.
func (w *scriptEnv) proc(args []string) error {
	client := plat.NewClient(w.server.URL, plat.WithClock(w.clock), plat.WithTimeout(200*time.Millisecond))
	s := New(client.Table, WithClock(w.clock))
	w.procs[args[0]] = &process{store: s, sync: NewSync(s)}
	return nil
}

// put PROC NAME LAYERS EXPECTED [ID [TIMEOUT]]
func (w *scriptEnv) put(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout(args))
	defer cancel()
	_, err := w.procs[args[0]].store.Put(ctx, newModelVersionWrite(args[1], args[2], args[3], args[4:]))
	return err
}

// delete PROC NAME EXPECTED
func (w *scriptEnv) remove(args []string) error {
	x := newModelVersionWrite(args[1], "1", args[2], nil)
	_, err := w.procs[args[0]].store.Delete(context.Background(), x)
	return err
}

// race NAME EXPECTED PROC... : all processes put concurrently; exactly one put
// must be accepted and the others must get a conflict.
func (w *scriptEnv) race(args []string) error {
	var (
		wg   sync.WaitGroup
		won  atomic.Int64
		lost atomic.Int64
	)
	for i, p := range args[2:] {
		wg.Go(func() {
			_, err := w.procs[p].store.Put(context.Background(), newModelVersionWrite(args[0], strconv.Itoa(i+1), args[1], nil))
			if err == nil {
				won.Add(1)
			} else if fault.Is(err, fault.Conflict) {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	if won.Load() != 1 || lost.Load() != int64(len(args)-3) {
		return fault.Newf(fault.Internal, "%d won, %d lost", won.Load(), lost.Load())
	}
	return nil
}

// faults [outage] [silent] [lose-answers=N] [lose-requests=N]
func (w *scriptEnv) faults(args []string) error {
	var f fplat.Faults
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "outage":
			f.Outage = true
		case "silent":
			f.Silent = true
		case "lose-answers":
			f.LoseAnswers = n
		case "lose-requests":
			f.LoseRequests = n
		default:
			return fault.Invalid("faults", arg, "a known switch")
		}
	}
	w.platform.SetFaults(f)
	return nil
}

// refresh PROC
func (w *scriptEnv) refresh(args []string) error {
	return w.procs[args[0]].store.Refresh(context.Background())
}

// link A B
func (w *scriptEnv) link(args []string) error {
	a, b := w.procs[args[0]], w.procs[args[1]]
	pair := [2]*directPeer{{hello: helloOf(args[1], b)}, {hello: helloOf(args[0], a)}}
	pair[0].deliver = func(m wire.Message) { b.sync.Receive(pair[1], m) }
	pair[1].deliver = func(m wire.Message) { a.sync.Receive(pair[0], m) }
	w.links[args[0]+args[1]] = pair
	a.sync.LinkUp(pair[0])
	b.sync.LinkUp(pair[1])
	return nil
}

// unlink A B
func (w *scriptEnv) unlink(args []string) error {
	pair := w.links[args[0]+args[1]]
	w.procs[args[0]].sync.LinkDown(pair[0])
	w.procs[args[1]].sync.LinkDown(pair[1])
	return nil
}

// heartbeat A B : each end of the link sends its revision to the other.
func (w *scriptEnv) heartbeat(args []string) error {
	pair := w.links[args[0]+args[1]]
	for i, name := range args {
		if err := pair[i].Send(wire.Heartbeat{Revision: w.procs[name].store.Snapshot().Revision}); err != nil {
			return err
		}
	}
	return nil
}

// push PROC : sends the changes to the peers that lack them.
func (w *scriptEnv) push(args []string) error {
	w.procs[args[0]].sync.pushAll()
	return nil
}

// offer PROC REVISION : applies an empty snapshot at the revision, as if a peer
// had sent it; fails when the process does not adopt it.
func (w *scriptEnv) offer(args []string) error {
	revision, _ := strconv.ParseUint(args[1], 10, 64)
	if !w.procs[args[0]].store.ApplySnapshot(NewSnapshot(revision, nil)) {
		return fault.New(fault.Conflict, "snapshot not adopted")
	}
	return nil
}

// elapse DURATION : advances the clock.
func (w *scriptEnv) elapse(args []string) error {
	d, err := time.ParseDuration(args[0])
	w.clock.offset.Add(int64(d))
	return err
}

// expect PROC REVISION [NAME LAYERS] : checks the revision of a process and the
// layers of a model version; 0 layers when it is absent.
func (w *scriptEnv) expect(args []string) error {
	s := w.procs[args[0]].store.Snapshot()
	if got := strconv.FormatUint(s.Revision, 10); got != args[1] {
		return fault.Newf(fault.Internal, "%s is at revision %s", args[0], got)
	}
	if len(args) < 4 {
		return nil
	}
	v, _ := Spec[resrc.ModelVersion](s, args[2])
	if got := strconv.Itoa(v.Layers); got != args[3] {
		return fault.Newf(fault.Internal, "%s has %s layers", args[2], got)
	}
	return nil
}

// ready PROC
func (w *scriptEnv) ready(args []string) error {
	if !w.procs[args[0]].sync.Ready() {
		return fault.New(fault.Unavailable, "not ready")
	}
	return nil
}

// changes PROC COUNT : checks the number of change rows in the table.
func (w *scriptEnv) changes(args []string) error {
	list, err := w.procs[args[0]].store.ListChanges(context.Background(), 0, 500)
	if err == nil && strconv.Itoa(len(list)) != args[1] {
		return fault.Newf(fault.Internal, "%d change rows", len(list))
	}
	return err
}

func helloOf(name string, p *process) func() wire.Hello {
	revision := p.store.Snapshot().Revision
	return func() wire.Hello { return wire.Hello{Instance: name, Revision: revision} }
}

func newModelVersionWrite(name, layers, expected string, rest []string) Write {
	n, _ := strconv.Atoi(layers)
	revision, _ := strconv.ParseUint(expected, 10, 64)
	w := Write{
		Actor: "test", Kind: resrc.KindModelVersion, Name: name, Expected: revision,
		Spec: resrc.ModelVersion{Model: "oak", Layers: n},
	}
	if len(rest) > 0 {
		w.ID = rest[0]
	}
	return w
}

func putTimeout(args []string) time.Duration {
	if len(args) > 5 {
		d, _ := time.ParseDuration(args[5])
		return d
	}
	return 10 * time.Second
}
