package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// app is an engine of an application service that answers with what it got.
type app struct {
	id, service string

	mu   sync.Mutex
	runs []appRun
}

// appRun is a request that an app has run.
type appRun struct {
	id, method, path, tenant string
	at                       time.Time
}

// addApp starts an engine of a service and lists it in the store.
func (w *world) addApp(id, service string) *app {
	a := &app{id: id, service: service}
	address, _ := w.site.Serve(a)
	w.site.Store.PutJSON("servers", id, map[string]any{
		"service": service, "address": address, "zone": "x", "version": "1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != a.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	a.runs = append(a.runs, appRun{r.Header.Get("Request-Id"), r.Method, r.URL.RequestURI(), r.Header.Get("Tenant-Id"), time.Now()})
	a.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "seal-"+a.id)
	_, _ = fmt.Fprintf(w, "%s %d bytes", a.id, len(body))
}

// ran returns the run of a request.
func (a *app) ran(id string) (appRun, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.id == id {
			return r, true
		}
	}
	return appRun{}, false
}

// appRoute is a route to an application service.
func appRoute(prefix, service, kind string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": "site.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

// putConfig writes a config, and returns when the store has accepted it.
func (w *world) putConfig(version int, routes ...map[string]any) time.Time {
	services := []map[string]any{}
	for _, name := range []string{"old-app", "new-app"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	w.site.Store.PutJSON("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	return time.Now()
}
