package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"shallotcourse/internal/fakes/relay"
)

const (
	// stopTimeout is the StopTimeout setting of the gateways.
	stopTimeout = 4 * time.Second
	// exitSlack is the time that a process may take beyond stopTimeout on a busy
	// machine.
	exitSlack = 2 * time.Second
	// memoryMegabytes is the MemoryMegabytes setting of the gateways, which
	// their resident memory must not exceed.
	memoryMegabytes = 284
	// firstPort and portCount give the range of ports that gateways listen on.
	// portsPerRun is the distance between the first ports of two soaks, which must
	// not take the ports of gateways that are down from one another.
	firstPort   = 21000
	portCount   = 11000
	portsPerRun = 1009
	// keyLife is the KeyLife setting of the gateways: the age of the
	// configuration from which they refuse keys.
	keyLife = 5 * time.Second
)

// lastPort counts the ports that freeAddress has tried.
var lastPort atomic.Int32

// program is the path of the binary that TestMain builds.
var program string

// gateway is a gateway process, with a relay between it and the other gateways
// that connect to its links, and another between it and the store.
type gateway struct {
	name, dc, listen, file string
	links, store           *relay.Relay

	mu sync.Mutex
	// endExpected says that the soak ends the process, so that its exit is no
	// failure.
	endExpected bool
	cmd         *exec.Cmd
	exited      chan struct{}
	// disturbed holds the times at which the process got a signal or started.
	disturbed []time.Time
}

// disturbedWithin reports whether the process was stopped, frozen or started between
// two times.
func (g *gateway) disturbedWithin(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.disturbed, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// freeAddress returns a free loopback address. Its port is below the range from
// which the system picks ports for outgoing connections, so that none of them
// takes it before the gateway listens, or while the gateway is down.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + (int(lastPort.Add(1))+portsPerRun*os.Getpid())%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
}

func newGateway(t *testing.T, dir, name, dc, store string) *gateway {
	t.Helper()
	g := &gateway{name: name, dc: dc, listen: freeAddress(t), file: filepath.Join(dir, name+".toml")}
	links := freeAddress(t)
	for _, pair := range []struct {
		target string
		relay  **relay.Relay
	}{{links, &g.links}, {store, &g.store}} {
		r, err := relay.Start("127.0.0.1:0", pair.target)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		*pair.relay = r
	}
	settings := fmt.Sprintf(`Instance = %q
DataCentre = %q
Listen = %q
ReadyListen = %q
OpsListen = %q
LinkListen = %q
Advertise = %q
Store = %q
MemoryMegabytes = %d
KeyLife = %q
StopTimeout = %q
`, name, dc, g.listen, freeAddress(t), freeAddress(t), links, g.links.Address(), g.store.Address(), memoryMegabytes, keyLife, stopTimeout)
	if err := os.WriteFile(g.file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return g
}

// start starts the process. An exit that the soak did not cause is a failure.
func (g *gateway) start(fail func(string, ...any), log *os.File) {
	cmd := exec.Command(program, "gateway", "--config", g.file)
	cmd.Stdout, cmd.Stderr = log, log
	exited := make(chan struct{})
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := cmd.Start(); err != nil {
		fail("%s does not start: %v", g.name, err)
		return
	}
	g.cmd, g.exited, g.endExpected = cmd, exited, false
	g.disturbed = append(g.disturbed, time.Now())
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		expected := g.endExpected
		g.mu.Unlock()
		if !expected {
			fail("%s exited unexpectedly: %v", g.name, err)
		}
		close(exited)
	}()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disturbed = append(g.disturbed, time.Now())
	// Sending a signal to a process that has just exited fails, which is fine.
	_ = g.cmd.Process.Signal(s)
}

// kill ends the process at once, even while it is paused.
func (g *gateway) kill() {
	g.mu.Lock()
	g.endExpected = true
	exited := g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGKILL)
	g.signal(syscall.SIGCONT)
	<-exited
}

// stop asks the process for a graceful stop and waits for its exit.
func (g *gateway) stop(fail func(string, ...any)) {
	g.mu.Lock()
	g.endExpected = true
	exited := g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopTimeout + exitSlack):
		fail("%s still runs %s after SIGTERM", g.name, stopTimeout+exitSlack)
		g.kill()
	}
}

// megabytes returns the resident memory of the process, or 0 if it does not run.
func (g *gateway) megabytes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err != nil {
				return 0
			}
			return kilobytes >> 10
		}
	}
	return 0
}
