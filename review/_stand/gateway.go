package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time from the end of a process to its next start.
const restartDelay = time.Second

// gateway is one gateway process, which the platform restarts when it ends.
type gateway struct {
	world          *world
	name, zone, ip string
	file           string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  bool
	misses int
	// ends counts the ends of the process that the test has not asked for.
	ends int
	peak int
}

func (g *gateway) launch() error {
	settings, err := g.world.settings(g)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file, settings, 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(g.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command("target/shallotcourse", "gateway")
	cmd.Env = append(os.Environ(), "SHALLOTCOURSE_SETTINGS="+g.file)
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	g.cmd, g.misses = cmd, 2
	g.mu.Unlock()
	g.world.note("platform: %s starts", g.name)
	go g.watch(cmd)
	return nil
}

// watch kills the process when it exceeds its memory, as the platform does, and
// starts it again after its end.
func (g *gateway) watch(cmd *exec.Cmd) {
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	for over := false; ; {
		select {
		case <-done:
			g.mu.Lock()
			ended := g.ended
			if !ended {
				g.ends++
			}
			g.mu.Unlock()
			if ended {
				return
			}
			g.world.note("platform: %s has ended by itself, over its memory: %v, %v", g.name, over, cmd.ProcessState)
			time.Sleep(restartDelay)
			g.world.bootstrap = false
			if g.hasEnded() {
				return
			}
			if err := g.launch(); err != nil {
				g.world.note("platform: %s does not start: %v", g.name, err)
			}
			return
		case <-time.After(10 * time.Millisecond):
			mb := anonymousMegabytes(cmd.Process.Pid)
			g.mu.Lock()
			g.peak = max(g.peak, mb)
			g.mu.Unlock()
			if mb > g.world.memoryMb && !over {
				over = true
				g.world.note("platform: %s uses %d MB of %d and is killed", g.name, mb, g.world.memoryMb)
				_ = cmd.Process.Kill()
			}
		}
	}
}

// anonymousMegabytes returns the memory of a process without its program file.
func anonymousMegabytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}

// end ends the process for good.
func (g *gateway) end() {
	g.mu.Lock()
	g.ended = true
	cmd := g.cmd
	g.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	time.Sleep(50 * time.Millisecond)
}

func (g *gateway) hasEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

func (g *gateway) noteReady(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.misses = 0
	} else {
		g.misses++
	}
}

// inRotation reports whether the platform sends new channels to this gateway.
func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.misses < 2
}

func (g *gateway) endCount() (ends, peak int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ends, g.peak
}
