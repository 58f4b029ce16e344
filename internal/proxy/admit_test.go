package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/topo"
)

// routeSource decodes a configuration with one public route, whose service is the raw
// text. Its version is the number of bytes.
type routeSource struct{ follow.Source }

func (routeSource) Decode(raw []byte) (topo.Config, error) {
	route := topo.Route{
		Name: "r", Host: "site.example", Prefix: "/", Semantics: topo.Repeatable, Public: true, Attempts: 1,
		Shares: []topo.Share{{Service: string(raw), Weight: 1}},
	}
	return topo.NewConfig(uint64(len(raw)), topo.Limits{}, []topo.Route{route}, []topo.Service{{Name: string(raw)}}, nil, nil), nil
}

// Guards against a request that is handled as only an older configuration allows
// (CONFIG), because the process was frozen or its store silent, although a newer one
// arrives at once; and against one that waits for a configuration that does not come.
func TestNothingIsAdmittedByAnOldConfiguration(t *testing.T) {
	old, moved := topo.Target{ID: "o", Service: "s", Address: "o:1"}, topo.Target{ID: "m", Service: "moved", Address: "m:1"}
	for _, c := range []struct {
		name string
		// age is that of the configuration when the request arrives, and refreshed
		// the time from then until a newer one arrives; 0 is never.
		age, refreshed time.Duration
		status         int
		path           string
	}{
		{"young", time.Second, 0, http.StatusOK, " o"},
		{"frozen", 5 * time.Second, 100 * time.Millisecond, http.StatusOK, " m"},
		{"frozen, nothing arrives", 5 * time.Second, 0, http.StatusServiceUnavailable, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSendSite()
				s.Ledger, s.Retries = ledger.New(s.Clock), limit.NewRetryLimiter(s.Clock, limit.RetryBounds{Window: time.Second}, func() int { return 1 })
				s.Configs = follow.NewConfigs(routeSource{}, s.Clock, s.now, log.NewNopLogger())
				s.Configs.ApplySync(1, []byte("s"), s.now(), "g2")
				time.Sleep(c.age)
				s.list(1, old, moved)
				if c.refreshed > 0 {
					time.AfterFunc(c.refreshed, func() { s.Configs.ApplySync(5, []byte("moved"), s.now(), "g2") })
				}
				r := httptest.NewRequest(http.MethodGet, "http://site.example/x", nil)
				r.Header.Set("Request-Id", "r1")
				w := httptest.NewRecorder()
				q := &request{Server: s.Server, w: w, r: r, headers: RequestHeaders{ID: "r1"}, arrived: s.Clock.Now()}
				if err := q.admit(); err != nil {
					q.refuse(err)
				} else {
					q.servePlain()
				}
				is.Equal(w.Code, c.status)
				is.Equal(q.pathLog, c.path)
				is.True(q.configAge <= time.Second)
			})
		})
	}
}
