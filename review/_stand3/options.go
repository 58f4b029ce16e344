package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"shallotcourse/platform/sims"
)

const oddCallers = 5

// unsealedSuccess lets clients that the users don't control ask for the server as a whole
// (OPTIONS *). The rule MIXED is broken if one gets a success without an engine's seal.
func unsealedSuccess(folder string, trouble bool) (int, error) {
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
	a := w.addApp("app-old", "old-app")
	w.putConfig(3, appRoute("/look/", "old-app", "safe", 4*time.Second))
	if err := w.addGateways(1); err != nil {
		return exitNotRun, err
	}
	g := w.gateways[0]
	if err := w.start(g); err != nil {
		return exitNotRun, err
	}
	broken, served := 0, 0
	for n := range oddCallers {
		lines := []string{"GET /look/a"}
		if trouble {
			lines = append(lines, "OPTIONS *", "OPTIONS /nowhere/")
		}
		for _, line := range lines {
			ch, err := openChannel(g.listen)
			if err != nil {
				return exitNotRun, err
			}
			var method, path string
			_, _ = fmt.Sscan(line, &method, &path)
			id := fmt.Sprintf("odd-%d-%s", n, method)
			_, _ = ch.conn.Write([]byte(head(method, path, id, 4*time.Second)))
			resp, err := http.ReadResponse(ch.in, &http.Request{Method: method})
			if err != nil {
				out.printf("%s %s: no answer: %v", id, line, err)
				_ = ch.conn.Close()
				continue
			}
			_, ran := a.ran(id)
			wrong := resp.StatusCode/100 == 2 && resp.Header.Get("Response-Seal") == ""
			out.printf("%s %s: status %d, Response-Seal %q, Request-Id %q, run by an engine %v; broken %v", id, line, resp.StatusCode,
				resp.Header.Get("Response-Seal"), resp.Header.Get("Request-Id"), ran, wrong)
			if wrong {
				broken++
			}
			if line == lines[0] && resp.StatusCode == http.StatusOK {
				served++
			}
			_ = ch.conn.Close()
		}
	}
	if served < oddCallers {
		return exitNotRun, fmt.Errorf("%d of %d ordinary requests are served", served, oddCallers)
	}
	if broken > 0 {
		out.printf("rule MIXED broken by %d answers", broken)
		return exitBroken, nil
	}
	out.printf("rule MIXED held")
	return exitHeld, nil
}
