package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize callers come within crowdTime, each with one legal request for a stream.
	crowdSize = 5000
	crowdTime = 10 * time.Second
	// crowdTenants is the number of tenants whose callers the crowd is.
	crowdTenants = 9
	// clerks are ordinary callers. Each sends one call after the other on a kept channel, as
	// long as the crowd is there.
	clerks     = 24
	clerksTime = 14 * time.Second
	// workTime is that of a call at its engine.
	workTime = 60 * time.Millisecond
	// lostThatCount is the number of requests over which LOST is broken.
	lostThatCount = 3
)

// ledger counts what became of the clerks' calls.
type ledger struct {
	sync.Mutex
	runs map[string]int
	// closed holds the calls whose channel ended before a byte of an answer.
	closed   []string
	answered map[int]int
}

// crowdCase lets a crowd of callers with legal requests come at once.
func crowdCase(w *world) (bool, error) {
	const layers, engines, plainEngines, pieces = 8, 12, 4, 40
	w.objective, w.tenants = objective, crowdTenants
	if err := w.startStore(timeBudget); err != nil {
		return false, err
	}
	for i := range engines {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), "x", "--layers", fmt.Sprint(layers), "--gap", "250ms"); err != nil {
			return false, err
		}
	}
	calls := &ledger{runs: map[string]int{}, answered: map[int]int{}}
	for i := range plainEngines {
		id := fmt.Sprintf("p-%d", i)
		err := w.startPlainEngine(id, func(out io.Writer, request string) {
			calls.Lock()
			calls.runs[request]++
			calls.Unlock()
			time.Sleep(workTime)
			soundAnswer(out, request, id)
		})
		if err != nil {
			return false, err
		}
	}
	g, err := w.startGateway("front-x-1", "x", machineMb)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	end, number := time.Now().Add(clerksTime), atomic.Int64{}
	for range clerks {
		all.Go(func() {
			for time.Now().Before(end) {
				calls.keepCalling(g.callers, &number, end)
			}
		})
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	outcomes := map[string]int{}
	if w.trouble {
		w.note("a crowd of %d callers comes within %v", crowdSize, crowdTime)
		for n := range crowdSize {
			all.Go(func() {
				time.Sleep(time.Duration(n) * crowdTime / crowdSize)
				a := call(g.callers, http.MethodPost, fmt.Sprintf("/draft/x?events=%d", pieces), fmt.Sprintf("crowd-%d", n), "prompt", timeBudget,
					map[string]string{"Token-Usage": "10,40", "Prompt-Prefix": fmt.Sprintf("a%d:10", n), "Model-Name": "m", "Authorization": "Bearer " + tenantKey(n%crowdTenants)}, nil)
				what := fmt.Sprintf("status %d", a.status)
				if !a.whole {
					what += " and a channel that closed before the end"
				}
				mu.Lock()
				outcomes[what]++
				mu.Unlock()
			})
		}
	}
	all.Wait()
	for what, n := range outcomes {
		w.note("crowd: %d got %s", n, what)
	}
	lost := 0
	for _, id := range calls.closed {
		if calls.runs[id] > 0 {
			lost++
			w.note("%s: run by its engine, and the channel was closed without an answer", id)
		}
	}
	w.note("clerks: %d calls sent, answers by status %v, %d more on channels that closed before a byte of an answer", number.Load(), calls.answered, len(calls.closed))
	w.note("of these, %d had run at a sound engine (more than %d break the rule)", lost, lostThatCount)
	if !w.trouble && len(calls.closed) > 0 {
		return false, fmt.Errorf("calls end without an answer without the crowd")
	}
	return lost > lostThatCount, nil
}

// keepCalling sends calls on one channel until it ends.
func (l *ledger) keepCalling(address string, number *atomic.Int64, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for time.Now().Before(end) {
		id := fmt.Sprintf("call-%d", number.Add(1))
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /register/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", id, apiKey)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		l.Lock()
		if err != nil {
			l.closed = append(l.closed, id)
		} else {
			l.answered[resp.StatusCode]++
		}
		l.Unlock()
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
			return
		}
	}
}
