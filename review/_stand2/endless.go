package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// machineMb is the memory of the smallest front machines of the pages.
	machineMb = 184
	// endsThatCount is the number of ends of a process from which the rule counts it.
	endsThatCount = 3
	// arrivalsPerS is the rate of new requests at each gateway.
	arrivalsPerS = 30
	// loadTime is the time for which requests arrive.
	loadTime = 62 * time.Second
	// objective is that of the route. Callers leave a stream without an event after four
	// objectives, which is their whole time budget here.
	objective, timeBudget = 5 * time.Second, 20 * time.Second
	restartDelay          = time.Second
)

// frontMachine runs a gateway as the platform does: it kills the process when it exceeds the
// memory of the machine, and starts it again.
type frontMachine struct {
	*world
	name string
	most int
	ends int

	mu sync.Mutex
	g  *gateway
}

// anonymousMb returns the memory of a process without the pages of its program file.
func anonymousMb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

func (f *frontMachine) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.g.callers
}

func (f *frontMachine) run(stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		g := f.g
		mb := anonymousMb(g.cmd.Process.Pid)
		f.most = max(f.most, mb)
		if !g.ended() && mb <= machineMb {
			continue
		}
		f.ends++
		f.note("%s: the process holds %d MB, the machine has %d: end %d", f.name, mb, machineMb, f.ends)
		g.signal(syscall.SIGKILL)
		<-g.done
		time.Sleep(restartDelay)
		next, err := f.startGateway(f.name, "x", machineMb)
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.g = next
		f.mu.Unlock()
	}
}

// endlessCase lets model engines send bytes without end, in the head or in the body.
func endlessCase(flag string, bytes int) func(*world) (bool, error) {
	return func(w *world) (bool, error) {
		const layers, engines = 8, 6
		w.objective = objective
		if err := w.startStore(timeBudget); err != nil {
			return false, err
		}
		for i := range engines {
			args := []string{"--layers", fmt.Sprint(layers)}
			if w.trouble {
				args = append(args, flag, fmt.Sprint(bytes))
			}
			if _, err := w.startEngine(fmt.Sprintf("i-%d", i), "x", args...); err != nil {
				return false, err
			}
		}
		var machines []*frontMachine
		for i := range 2 {
			f := &frontMachine{world: w, name: fmt.Sprintf("front-x-%d", i+1)}
			var err error
			if f.g, err = w.startGateway(f.name, "x", machineMb); err != nil {
				return false, err
			}
			machines = append(machines, f)
		}
		time.Sleep(2 * time.Second)
		stop, failed := make(chan struct{}), make(chan error, len(machines))
		var platform, callers sync.WaitGroup
		for _, f := range machines {
			platform.Go(func() {
				if err := f.run(stop); err != nil {
					failed <- err
				}
			})
		}
		var mu sync.Mutex
		outcomes, number := map[string]int{}, atomic.Int64{}
		ask := func(f *frontMachine, end time.Time) {
			n := number.Add(1)
			a := call(f.address(), http.MethodPost, "/draft/x?events=40", fmt.Sprintf("request-%d", n), "prompt", time.Until(end),
				map[string]string{"Token-Usage": "10,40", "Prompt-Prefix": fmt.Sprintf("a%d:10", n), "Model-Name": "m"}, nil)
			what := fmt.Sprintf("status %d", a.status)
			if a.err != nil {
				what = "no whole answer"
			}
			mu.Lock()
			outcomes[what]++
			mu.Unlock()
		}
		w.note("load begins: %d requests a second at each of %d gateways", arrivalsPerS, len(machines))
		ticks := time.NewTicker(time.Second / arrivalsPerS)
		defer ticks.Stop()
		last := time.Now().Add(loadTime)
		for now := range ticks.C {
			if now.After(last) {
				break
			}
			for _, f := range machines {
				callers.Go(func() { ask(f, now.Add(timeBudget)) })
			}
		}
		w.note("load ends")
		close(stop)
		platform.Wait()
		broken := true
		for _, f := range machines {
			w.note("%s: %d ends, most memory %d MB", f.name, f.ends, f.most)
			broken = broken && f.ends >= endsThatCount
		}
		mu.Lock()
		w.note("answers so far: %v", outcomes)
		mu.Unlock()
		select {
		case err := <-failed:
			return false, err
		default:
			return broken, nil
		}
	}
}
