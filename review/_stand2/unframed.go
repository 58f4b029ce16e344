package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// unframedCase kills an engine in the middle of a stream that has neither a length nor chunks.
func unframedCase(w *world) (bool, error) {
	const layers, pieces = 8, 40
	if err := w.startStore(20 * time.Second); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i), "x", "--unframed", "--layers", fmt.Sprint(layers)); err != nil {
			return false, err
		}
	}
	g, err := w.startGateway("front-x-1", "x", 284)
	if err != nil {
		return false, err
	}
	if err := w.await("engines hold all layers", func() bool { return w.layersHeld(3, layers) }); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	broken := false
	for n := range 3 {
		id := fmt.Sprintf("request-%d", n)
		killed := false
		a := call(g.callers, http.MethodPost, fmt.Sprintf("/draft/x?events=%d", pieces), id, "prompt", 20*time.Second,
			map[string]string{"Token-Usage": "10,40", "Prompt-Prefix": fmt.Sprintf("a%d:10", n), "Model-Name": "m"}, func(body []byte) {
				if killed || n != 1 || !w.trouble || bytes.Count(body, []byte("\n\n")) < pieces/4 {
					return
				}
				killed = true
				for _, e := range w.engines {
					if strings.Contains(string(body), "of "+e.id+"\n") {
						e.signal(syscall.SIGKILL)
						w.note("engine %s is killed", e.id)
					}
				}
			})
		got := strings.Count(string(a.body), "\n\n")
		w.note("%s: status %d, seal %q, framed %v, whole %v, error %v, %d of %d pieces", id, a.status, a.header.Get("Response-Seal"), a.framed, a.whole, a.err, got, pieces)
		if a.status == http.StatusOK && a.whole && got < pieces {
			w.note("%s: the answer looks complete, but its last piece is %q", id, a.body[bytes.LastIndex(a.body[:len(a.body)-2], []byte("\n\n"))+2:])
			broken = true
		}
	}
	return broken, nil
}
