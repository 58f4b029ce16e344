// Package soak runs gateways as separate processes on one machine, injects
// faults into them, their links, the store and the targets by a seeded schedule,
// and checks what callers and targets receive. See docs/proof.md.
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed    = flag.Uint64("seed", 1, "first seed")
	seeds        = flag.Int("seeds", 1, "number of seeds")
	faultsLength = flag.Duration("length", 12*time.Second, "time during which faults begin, per seed")
	gatewayCount = flag.Int("gateways", 4, "number of gateways; more than 8 form groups")
	logDir       = flag.String("logs", "", "directory for the logs of failed seeds")
)

// regressions lists seeds that have failed, with the cause of the failure.
var regressions = []struct {
	seed     uint64
	gateways int
	cause    string
}{
	{208, 11, "the soak gave gateways ports that outgoing connections take too"},
}

// TestMain builds the program that the soak runs, then runs the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "shallotcourse")
	build := exec.Command("go", "build", "-o", program, "shallotcourse/cmd/shallotcourse")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "the program does not build:", err)
		return 1
	}
	return m.Run()
}

// Guards against guarantees that hold under each fault alone but not when
// several overlap, follow each other or recur.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed, *gatewayCount, *faultsLength, faults) })
	}
}

// Guards against the return of failures that the soak has found before.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d: %s", r.seed, r.cause), func(t *testing.T) { soak(t, r.seed, r.gateways, *faultsLength, faults) })
	}
}

// soak runs one seed: it starts the gateways and callers, injects faults for the
// given time, and then checks that all gateways serve again.
func soak(t *testing.T, seed uint64, gateways int, length time.Duration, kinds []fault) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newWorld(ctx, t, seed, gateways)
	w.awaitServing(recoveryBound)
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(newCaller(w, n, seed).run)
	}
	w.injectFaults(kinds, time.Now().Add(length))
	w.recordEvent("the last fault has ended")
	w.awaitServing(recoveryBound)
	cancel()
	callers.Wait()
	w.checkAtEnd()
	w.report(seed)
}

// report logs the counts. If there were failures, it fails the test with the
// first of them, the command that repeats the seed, and the faults injected.
func (w *world) report(seed uint64) {
	w.t.Logf("seed %d: %d served, %d refused, %d connections broke, %d calls that run once", seed, w.counts.served, w.counts.refused,
		w.counts.broken, len(w.counts.onceCalls))
	if len(w.failures) == 0 {
		return
	}
	if *logDir != "" {
		text, err := os.ReadFile(w.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("seed-%d.log", seed)), text, 0o600)
		}
		if err != nil {
			w.t.Logf("the logs are not saved: %v", err)
		}
	}
	w.t.Errorf("reproduce with: make soak SEED=%d SEEDS=1 GATEWAYS=%d\n%s\ninjected faults:\n%s", seed, len(w.gateways),
		strings.Join(w.failures[:min(len(w.failures), 20)], "\n"), strings.Join(w.history, "\n"))
}
