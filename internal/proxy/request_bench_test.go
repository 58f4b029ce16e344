package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

type (
	// benchTarget reads each request and answers with 1 kB.
	benchTarget struct{ body string }

	// benchDialect reads no headers.
	benchDialect struct{}
)

// RoundTrip implements http.RoundTripper.
func (t benchTarget) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(t.body)), ContentLength: int64(len(t.body))}, nil
}

func (benchDialect) ReadRequest(http.Header) RequestHeaders  { return RequestHeaders{ID: "r"} }
func (benchDialect) WriteRequest(http.Header, TargetHeaders) {}
func (benchDialect) ReadResponse(http.Header) ResponseHeaders {
	return ResponseHeaders{ID: "r", Sealed: true}
}

func newBenchServer() *Server {
	clock, logger := timer.System{}, log.NewNopLogger()
	start := time.Now()
	bootClock := func() time.Duration { return time.Minute + time.Since(start) }
	configs, fleets := follow.NewConfigs(routeSource{}, clock, bootClock, logger), follow.NewFleets(nil, clock, bootClock, logger)
	configs.ApplySync(1, []byte("s"), bootClock(), "g")
	fleets.ApplySync(topo.Version{Number: 1}, []topo.Target{{ID: "t", Address: "t:1", Service: "s", Slots: 100}}, bootClock(), "g")
	return New(Options{
		Clock: clock, Log: logger, Metrics: metrics.NewSet(), Configs: configs, Fleets: fleets, Ledger: ledger.New(clock),
		Limits:  limit.NewTargetLimiter(clock, limit.Gateway{}, nil),
		Retries: limit.NewRetryLimiter(clock, limit.RetryBounds{Window: time.Second}, func() int { return 1 }), Returns: limit.NewRetryPacer(clock),
		Dialect: benchDialect{}, Client: &http.Client{Transport: benchTarget{strings.Repeat("x", 1000)}}, Settings: Settings{ConfigMaxAge: time.Hour, BodyBytes: 4 << 20},
	})
}

// BenchmarkSmallRequest measures an ordinary request with a body of 2 kB and a response
// of 1 kB.
func BenchmarkSmallRequest(b *testing.B) {
	s := newBenchServer()
	body := strings.Repeat("x", 2000)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://site.example/x", strings.NewReader(body))
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body.String())
		}
	}
}
