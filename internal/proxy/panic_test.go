package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
)

// panickingDialect panics while it reads a request.
type panickingDialect struct{ Dialect }

func (panickingDialect) ReadRequest(http.Header) RequestHeaders { panic("malformed") }

// testServer returns a server without a configuration or targets.
func testServer(d Dialect) *Server {
	clock, logger := timer.System{}, log.NewNopLogger()
	bootClock := func() time.Duration { return time.Minute }
	return New(Options{
		Clock: clock, Log: logger, Metrics: metrics.NewSet(), Configs: follow.NewConfigs(nil, clock, bootClock, logger),
		Fleets: follow.NewFleets(nil, clock, bootClock, logger), Returns: limit.NewRetryPacer(clock), Dialect: d,
	})
}

// Guards against an unexpected failure while one request is handled that ends
// the process or leaves the caller without an answer.
func TestPanicEndsOneRequest(t *testing.T) {
	is := is.New(t)
	s := testServer(panickingDialect{})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Header().Get(fault.Header), string(fault.Unknown)) // it may have run
	is.Equal(s.OpenRequests(), 0)
	is.Equal(s.Metrics.GetOrCreateCounter("shallotcourse_panics_total").Get(), uint64(1))
}

// Guards against a failure in a goroutine of a request, which net/http does not
// recover, and against a response that looks complete after one.
func TestPanicInGoroutine(t *testing.T) {
	is := is.New(t)
	q := &request{Server: testServer(nil), r: httptest.NewRequest(http.MethodGet, "/", nil)}
	var failure *fault.Error
	func() {
		defer q.catchPanic(&failure)
		panic("unexpected")
	}()
	is.Equal(failure.Code, fault.Internal)
	is.Equal(failure.Outcome, fault.Unknown)
	done := make(chan struct{})
	q.background(func() {
		defer close(done)
		panic("unexpected")
	})
	<-done
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	func() {
		defer q.endPanic(func() bool { return true })
		panic("unexpected")
	}()
}
