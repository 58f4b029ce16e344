//go:build crowd

// Package crowd tests the gateway and entry processes on loopback with crowds of
// misbehaving callers. The tests check what does not depend on the speed of the
// machine: that the process lives, that its memory and descriptors stay under
// bounds, and that ordinary callers get their answers.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotcourse/internal/cmds"
)

const (
	// runVariable makes the test binary run the program instead of the tests.
	runVariable = "SHALLOTCOURSE_TEST_RUN"
	// firstPort, portCount and portsPerTest are as in internal/cmds: below the range
	// from which the system picks ports, and different for two test processes.
	firstPort    = 10000
	portCount    = 11000
	portsPerTest = 97
	// sampleInterval is the time between two readings of a process's memory. Bodies
	// of 4 MB take longer to arrive than that, so no peak of many is missed.
	sampleInterval = 5 * time.Millisecond
	// logTail is the number of bytes of a process's log that a failed test shows.
	logTail = 1 << 10
)

var lastPort atomic.Int32

type (
	// process is a process of the system that a test started.
	process struct {
		cmd    *exec.Cmd
		log    logBuffer
		exited chan struct{}
	}

	// logBuffer keeps the output of a process.
	logBuffer struct {
		mu sync.Mutex
		b  bytes.Buffer
	}

	// sampler records the greatest memory and number of descriptors of a process.
	sampler struct {
		p *process
		// bound is the memory at which the process is killed, as its machine would.
		bound int64
		stop  chan struct{}
		done  chan struct{}
		// memory and files are read after done.
		memory int64
		files  int
	}
)

// TestMain runs the tests, or the program in the processes that tests start.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) == "" {
		os.Exit(m.Run())
	}
	if err := cmds.NewRoot().Execute(); err != nil {
		cmds.Report(os.Stderr, err)
		os.Exit(1)
	}
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.b.Bytes()
	return string(all[max(0, len(all)-logTail):])
}

// freeAddresses returns n free loopback addresses.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range portCount {
		port := firstPort + (int(lastPort.Add(1))+portsPerTest*os.Getpid())%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if out = append(out, l.Addr().String()); len(out) == n {
			return out
		}
	}
	t.Fatalf("%d free ports wanted, %d found", n, len(out))
	return nil
}

// startProcess runs the program with the settings and at most so many descriptors
// until the test ends.
func startProcess(t *testing.T, role, settings string, files int) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), role+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, files)
	p := &process{cmd: exec.Command("sh", "-c", limit, os.Args[0], role, "--config", file), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.Env = append(os.Environ(), runVariable+"=1", "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		<-p.exited
		if t.Failed() {
			t.Logf("---- %s, end of the log ----\n%s", role, p.log.tail())
		}
	})
	return p
}

// kill ends the process; it may have ended before.
func (p *process) kill() { _ = p.cmd.Process.Kill() }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memory returns the anonymous memory of the process in bytes, 0 if it has ended.
func (p *process) memory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err == nil {
				return n << 10
			}
		}
	}
	return 0
}

// files returns the number of open descriptors of the process, 0 if it has ended.
func (p *process) files() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// sample records the memory and descriptors of the process until end.
func (p *process) sample(bound int64) *sampler {
	s := &sampler{p: p, bound: bound, stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *sampler) run() {
	defer close(s.done)
	for {
		s.memory = max(s.memory, s.p.memory())
		s.files = max(s.files, s.p.files())
		if s.memory > s.bound {
			s.p.kill()
			return
		}
		select {
		case <-s.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (s *sampler) end() {
	close(s.stop)
	<-s.done
}
