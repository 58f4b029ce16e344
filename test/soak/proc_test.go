package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
	// stopTimeout is the StopTimeout of the gateways, and exitSlack what a
	// process may take beyond it on a busy machine.
	stopTimeout = 4 * time.Second
	exitSlack   = 2 * time.Second
	// memoryMegabytes is the bound of the memory of a gateway.
	memoryMegabytes = 284
	// firstPort and ports are the ports that gateways listen on.
	firstPort = 21000
	ports     = 11000
	// keyLife is the KeyLife of the gateways.
	keyLife = 5 * time.Second
)

// lastPort counts the ports that were given out.
var lastPort atomic.Int32

// program is the binary that TestMain builds.
var program string

// gateway is a process of the product, with relays before its links and its
// store.
type gateway struct {
	name, dc, listen, file string
	links, store           *relay.Relay

	mu sync.Mutex
	// down says that the soak has ended the process.
	down   bool
	cmd    *exec.Cmd
	exited chan struct{}
}

// address returns a free loopback address. It is below the range from which
// the system picks the ports of connections, so that none takes it before the
// gateway does, or while the gateway is down.
func address(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + int(lastPort.Add(1)+int32(os.Getpid()))%ports
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
	g := &gateway{name: name, dc: dc, listen: address(t), file: filepath.Join(dir, name+".toml")}
	links := address(t)
	for _, way := range []struct {
		to   string
		into **relay.Relay
	}{{links, &g.links}, {store, &g.store}} {
		r, err := relay.Start("127.0.0.1:0", way.to)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		*way.into = r
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
`, name, dc, g.listen, address(t), address(t), links, g.links.Address(), g.store.Address(), memoryMegabytes, keyLife, stopTimeout)
	if err := os.WriteFile(g.file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return g
}

// start runs the process; an end that the soak did not ask for is a failure.
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
	g.cmd, g.exited, g.down = cmd, exited, false
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		asked := g.down
		g.mu.Unlock()
		if !asked {
			fail("%s ended by itself: %v", g.name, err)
		}
		close(exited)
	}()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A process that has just ended takes no signal, which is no failure.
	_ = g.cmd.Process.Signal(s)
}

// kill ends the process without a word.
func (g *gateway) kill() {
	g.mu.Lock()
	g.down = true
	exited := g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGKILL)
	g.signal(syscall.SIGCONT)
	<-exited
}

// stop asks the process to stop and waits until it has.
func (g *gateway) stop(fail func(string, ...any)) {
	g.mu.Lock()
	g.down = true
	exited := g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopTimeout + exitSlack):
		fail("%s runs %s after SIGTERM", g.name, stopTimeout+exitSlack)
		g.kill()
	}
}

// megabytes returns the memory of the process.
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
