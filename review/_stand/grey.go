package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// greyShare is the share of the requests that the grey engine fails, and greyTime how
// long it does.
const (
	greyShare = 0.4
	greyTime  = 6500 * time.Millisecond
)

// greyEngine lets one of three engines of the plain service carry out some requests and
// answer them with status 503 without saying that they have not run.
func greyEngine(w *world) int {
	for i := range 3 {
		if _, err := w.addEngine("i-app-"+strconv.Itoa(i), "zone-"+string(rune('a'+i%2)), false); err != nil {
			return unfit
		}
	}
	w.writeConfig()
	if w.addGateways(2) != nil || !w.waitReady(20*time.Second) {
		w.say("the deployment does not become ready")
		return unfit
	}
	time.Sleep(contactTime)
	var answers, transfers sync.Map
	stop := time.Now().Add(36 * time.Second)
	var wg sync.WaitGroup
	for i := range 24 {
		c := &client{world: w, key: "key-acme"}
		wg.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				// A transfer is repeated once, and only after a promise that it has not run.
				a := ask{method: http.MethodPost, route: "register", body: "transfer-" + strconv.Itoa(i) + "-" + strconv.Itoa(n), timeout: 4 * time.Second}
				for range 2 {
					o := c.do(a)
					c.note(a, o)
					if o.sent {
						answers.Store(o.id, o)
						transfers.Store(o.id, a.body)
					}
					if !isPromise(o.status) {
						break
					}
					c.drop()
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(400 * time.Millisecond)
			}
			c.drop()
		})
	}
	for n := 0; w.trouble && n < 3; n++ {
		time.Sleep(contactTime)
		grey := w.apps[n]
		w.note("trouble: %s fails %g of its requests for %s, after it has carried them out", grey.id, greyShare, greyTime)
		grey.setSpoil(func(rw http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
			if rand.Float64() >= greyShare {
				return false
			}
			grey.mu.Lock()
			grey.runs[id]++
			grey.mu.Unlock()
			w.note("%s: request %s runs, and is answered with status 503", grey.id, id)
			time.Sleep(grey.workTime)
			rw.Header().Set("Request-Id", id)
			rw.Header().Set("Response-Seal", "seal-"+id)
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(rw, "the register failed after the entry was made\n")
			return true
		})
		time.Sleep(greyTime)
		grey.setSpoil(nil)
		w.note("trouble: ends")
	}
	wg.Wait()
	return w.judgeRefused(&answers, &transfers)
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout ||
		status == http.StatusMisdirectedRequest
}

// judgeRefused counts the transfers that were refused with a promise and have run.
func (w *world) judgeRefused(answers, transfers *sync.Map) int {
	total, served, refused := 0, 0, 0
	runs := map[string]int{}
	answers.Range(func(_, v any) bool {
		o := v.(answer)
		total++
		if o.right {
			served++
		}
		ran, at := 0, ""
		for _, e := range w.apps {
			if n := e.ran(o.id); n > 0 {
				ran += n
				at += " " + e.id
			}
		}
		body, _ := transfers.Load(o.id)
		runs[body.(string)] += ran
		if isPromise(o.status) && ran > 0 {
			refused++
			w.note("judge: %s, request %s: answered %d by %s and has run at%s", body, o.id, o.status, o.gateway, at)
		}
		return true
	})
	twice := []string{}
	for body, n := range runs {
		if n > 1 {
			twice = append(twice, body)
		}
	}
	w.note("judge: carried out more than once: %s", strings.Join(twice, " "))
	w.say("%d requests, %d served; REFUSED: %d requests were refused with a promise and have run (one breaks the rule); %d transfers were carried out more than once", total, served, refused, len(twice))
	switch {
	case refused > 0:
		return broken
	case served < total*9/10:
		return unfit
	}
	return held
}
