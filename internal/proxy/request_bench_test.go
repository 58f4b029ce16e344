package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"shallotcourse/internal/budget"
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

	// benchConnKey is the context key of a connection.
	benchConnKey struct{}
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
	// Configuration and target list do not age.
	bootClock := func() time.Duration { return time.Minute }
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

// BenchmarkSmallRequestOnConnection measures the same request on a connection, with a
// claim on a budget.
func BenchmarkSmallRequestOnConnection(b *testing.B) {
	server := httptest.NewUnstartedServer(benchHandler(newBenchServer()))
	server.Config.ConnContext = benchConnContext()
	server.Start()
	defer server.Close()
	body := strings.Repeat("x", 2000)
	client := server.Client()
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(body))
		r.Host = "site.example"
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.StatusCode)
		}
	}
}

// benchConnContext gives each connection a claim.
func benchConnContext() func(context.Context, net.Conn) context.Context {
	memory := budget.New(budget.Options{Bytes: 64 << 20, Clock: timer.System{}})
	return func(ctx context.Context, c net.Conn) context.Context {
		claim := memory.Open(func() { _ = c.Close() })
		return budget.WithClaim(context.WithValue(ctx, benchConnKey{}, c), claim)
	}
}

// benchHandler lets the handler see the bytes that are not confirmed, as a gateway does.
func benchHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute))
		c, _ := r.Context().Value(benchConnKey{}).(*net.TCPConn)
		unsent := func() int {
			raw, _ := c.SyscallConn()
			n := 0
			_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
			return n
		}
		h.ServeHTTP(w, r.WithContext(budget.WithUnsent(r.Context(), unsent)))
	})
}
