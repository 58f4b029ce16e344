package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	otherKey = "another-key-of-acme"
	revokeMs = 5000
)

// revokedCase takes a key away while requests with it are being sent.
func revokedCase(w *world) (bool, error) {
	const layers, callers = 8, 5
	if err := w.startStore(20 * time.Second); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), "x", "--layers", fmt.Sprint(layers), "--gap", "5ms"); err != nil {
			return false, err
		}
	}
	g, err := w.startGateway("front-x-1", "x", 284)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	header := map[string]string{"Token-Usage": "10,40", "Prompt-Prefix": "a1:10", "Model-Name": "m"}
	acked := make(chan time.Time, callers)
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken := false
	for n := range callers {
		wg.Go(func() {
			id := fmt.Sprintf("request-%d", n)
			var ack, sent time.Time
			a := callSlowly(g.callers, http.MethodPost, "/draft/x?events=40", id, strings.Repeat("prompt ", 100), 20*time.Second, header, func() {
				w.note("%s: the head is sent", id)
				ack = <-acked
				time.Sleep(time.Until(ack.Add((revokeMs + 1000) * time.Millisecond)))
				sent = time.Now()
			}, nil)
			w.note("%s: the body was sent %v after the ack; status %d, seal %q, %d pieces, error %v", id, sent.Sub(ack).Round(time.Millisecond), a.status,
				a.header.Get("Response-Seal"), strings.Count(string(a.body), "\n\n"), a.err)
			mu.Lock()
			defer mu.Unlock()
			broken = broken || a.status == http.StatusOK && a.header.Get("Response-Seal") != ""
		})
	}
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.writeConfig(2, 20*time.Second, otherKey)
		w.note("version 2 is acknowledged: the key is taken away")
	} else {
		w.writeConfig(2, 20*time.Second, apiKey, otherKey)
		w.note("version 2 is acknowledged: a key is added")
	}
	ack := time.Now()
	for range callers {
		acked <- ack
	}
	time.Sleep(time.Until(ack.Add(3 * time.Second)))
	a := call(g.callers, http.MethodPost, "/draft/x?events=40", "request-late", "prompt", 20*time.Second, header, nil)
	w.note("request-late: sent whole 3 s after the ack, status %d", a.status)
	wg.Wait()
	if !w.trouble {
		// The key is valid all the while, so the requests are to be served.
		if !broken || a.status != http.StatusOK {
			return false, fmt.Errorf("the system does not serve without the disruption")
		}
		return false, nil
	}
	return broken, nil
}
