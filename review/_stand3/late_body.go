package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"shallotcourse/platform/sims"
)

const (
	configApply = 2 * time.Second
	// bodyPause is the time from the ack of the config to the last byte of the bodies.
	bodyPause    = 6 * time.Second
	slowCallers  = 5
	slowBody     = 800
	slowDeadline = 20 * time.Second
)

// lateBody changes routes between the head and the end of the body of some requests. The
// rule CONFIG is broken if one, whose last byte is sent later than configApplyMs after
// the ack, is run as only the older config allows.
func lateBody(folder string, trouble bool) (int, error) {
	out, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{site: sims.NewSite(), dir: dir, record: out}
	defer w.stopAll()
	w.store, _ = w.site.Serve(w.site.Store)
	before, after := w.addApp("app-old", "old-app"), w.addApp("app-new", "new-app")
	w.putConfig(3, appRoute("/moved/", "old-app", "unsafe", slowDeadline), appRoute("/dropped/", "old-app", "unsafe", slowDeadline))
	if err := w.addGateways(2); err != nil {
		return exitNotRun, err
	}
	for _, g := range w.gateways {
		if err := w.start(g); err != nil {
			return exitNotRun, err
		}
	}
	// From here on, nothing is disturbed for contactMs.
	time.Sleep(4 * time.Second)
	acked := make(chan struct{})
	var ackedAt time.Time
	type call struct {
		id, path     string
		first, last  time.Duration
		status       int
		body         string
		err          error
		sentLastByte time.Time
	}
	calls := make([]call, 2*slowCallers)
	started := time.Now()
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			c := &calls[i]
			c.id, c.path = fmt.Sprintf("slow-%d", i), []string{"/moved/a", "/dropped/a"}[i%2]
			ch, err := openChannel(w.gateways[i/2%len(w.gateways)].listen)
			if err != nil {
				c.err = err
				return
			}
			defer func() { _ = ch.conn.Close() }()
			text := head("POST", c.path, c.id, slowDeadline, fmt.Sprintf("Content-Length: %d", slowBody))
			c.first = time.Since(started)
			if _, c.err = ch.conn.Write([]byte(text + string(make([]byte, slowBody/2)))); c.err != nil {
				return
			}
			<-acked
			time.Sleep(time.Until(ackedAt.Add(bodyPause)))
			c.sentLastByte = time.Now()
			if _, c.err = ch.conn.Write(make([]byte, slowBody-slowBody/2)); c.err == nil {
				c.status, c.body, _, c.err = ch.answer()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		ackedAt = w.putConfig(8, appRoute("/moved/", "new-app", "unsafe", slowDeadline))
	} else {
		ackedAt = time.Now()
	}
	out.printf("config changed: %v", trouble)
	close(acked)
	wg.Wait()
	broken, served := 0, 0
	for _, c := range calls {
		_, old := before.ran(c.id)
		_, fresh := after.ran(c.id)
		late := c.sentLastByte.Sub(ackedAt)
		wrong := trouble && old && late > configApply
		out.printf("%s %s, last byte %.3f s after the ack: status %d %q, error %v; run by the old service %v, by the new one %v; broken %v",
			c.id, c.path, late.Seconds(), c.status, c.body, c.err, old, fresh, wrong)
		if wrong {
			broken++
		}
		if c.status == 200 {
			served++
		}
	}
	// What the gateways do with whole requests by now.
	for _, path := range []string{"/moved/a", "/dropped/a"} {
		ch, err := openChannel(w.gateways[0].listen)
		if err != nil {
			return exitNotRun, err
		}
		id := "whole" + path
		_, _ = ch.conn.Write([]byte(head("POST", path, id, slowDeadline, "Content-Length: 0")))
		status, body, _, err := ch.answer()
		out.printf("%s sent whole now: status %d %q, error %v", path, status, body, err)
		_ = ch.conn.Close()
	}
	if !trouble && served < len(calls) {
		return exitNotRun, fmt.Errorf("%d of %d requests are served without the change", served, len(calls))
	}
	if broken > 0 {
		out.printf("rule CONFIG broken by %d of %d requests", broken, len(calls))
		return exitBroken, nil
	}
	out.printf("rule CONFIG held")
	return exitHeld, nil
}
