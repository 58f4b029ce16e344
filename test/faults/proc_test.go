//go:build faults

// Package faults tests the entry and agent processes on loopback while they, the
// platform and the targets fail.
package faults

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// startTimeout bounds the time until a process answers its health check.
	startTimeout = 20 * time.Second
	// firstPort, portsPerBlock and portBlocks divide the ports among test
	// processes, so that those that run at the same time rarely share a block.
	firstPort     = 20000
	portsPerBlock = 600
	portBlocks    = 20
	// stopTimeout bounds a graceful stop before the test fails.
	stopTimeout = 30 * time.Second
)

var lastPort atomic.Int32

func init() { lastPort.Store(int32(firstPort + os.Getpid()%portBlocks*portsPerBlock)) }

type (
	// proc is a process that the test started.
	proc struct {
		t    *testing.T
		name string
		path string
		args []string
		cmd  *exec.Cmd
		log  *logBuffer
		done chan struct{}
		// exit is valid once done is closed.
		exit error
	}

	// logBuffer collects the output of a process, to be logged if the test fails.
	logBuffer struct {
		mu sync.Mutex
		b  bytes.Buffer
	}
)

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) tail(lines int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := strings.Split(strings.TrimRight(l.b.String(), "\n"), "\n")
	if len(all) > lines {
		all = all[len(all)-lines:]
	}
	return strings.Join(all, "\n")
}

// start starts a program of bin/ and ends it when the test ends.
func start(t *testing.T, name, program string, args ...string) *proc {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", "..", "bin", program))
	if err != nil {
		t.Fatal(err)
	}
	p := &proc{t: t, name: name, path: path, args: args, log: &logBuffer{}}
	p.run()
	t.Cleanup(p.cleanup)
	return p
}

func (p *proc) run() {
	p.t.Helper()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("%s does not start: %v", p.name, err)
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		p.exit = cmd.Wait()
		close(done)
	}()
}

func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Logf("%s: signal %v: %v", p.name, s, err)
	}
}

// kill ends the process at once, without a graceful stop.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *proc) freeze() { p.signal(syscall.SIGSTOP) }
func (p *proc) thaw()   { p.signal(syscall.SIGCONT) }

// terminate asks for a graceful stop and waits for it.
func (p *proc) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

func (p *proc) waitExit() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.t.Errorf("%s did not stop within %v", p.name, stopTimeout)
		p.kill()
	}
}

// restart starts the program again with the same arguments.
func (p *proc) restart() {
	p.t.Helper()
	<-p.done
	p.run()
}

func (p *proc) cleanup() {
	select {
	case <-p.done:
	default:
		p.thaw()
		p.kill()
	}
	if p.t.Failed() {
		p.t.Logf("---- %s, last lines ----\n%s", p.name, p.log.tail(6))
	}
}

// freeAddresses returns n free loopback addresses. Their ports are below the range
// from which the system picks ports for outgoing connections, so that none is
// taken before the process listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for len(out) < n {
		port := lastPort.Add(1)
		if port >= firstPort+portBlocks*portsPerBlock {
			t.Fatal("no free port below the ephemeral range")
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return out
}

// eventually calls f until it returns nil, and fails the test when that takes
// too long.
func eventually(t *testing.T, within time.Duration, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s not within %v: %v", what, within, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitOK waits until a URL answers 200.
func waitOK(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	eventually(t, startTimeout, url, func() error {
		resp, err := client.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}
