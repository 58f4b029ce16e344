package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	longStreams = 60
	// maxStreamsHeap is the most that the long events of all streams may take: what a
	// gateway holds for its callers, and what is being read.
	maxStreamsHeap = 100 << 20
)

type (
	// longEvents sends streams of long events without end.
	longEvents struct{}

	// endlessReader repeats a text.
	endlessReader struct{ text *strings.Reader }

	// stuckWriter is a caller that does not read until released, and has left then.
	stuckWriter struct {
		*httptest.ResponseRecorder
		released <-chan struct{}
	}
)

// RoundTrip implements http.RoundTripper.
func (longEvents) RoundTrip(req *http.Request) (*http.Response, error) {
	h := http.Header{"Request-Id": {req.Header.Get("Request-Id")}, "Response-Seal": {"s"}, "Content-Type": {"text/event-stream"}}
	body := endlessReader{strings.NewReader("id: 1\ndata: " + strings.Repeat("x", 250_000) + "\n\n")}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(body), ContentLength: -1, TransferEncoding: []string{"chunked"}}, nil
}

// Read implements io.Reader.
func (r endlessReader) Read(b []byte) (int, error) {
	n, err := r.text.Read(b)
	if err == io.EOF {
		_, err = r.text.Seek(0, io.SeekStart)
	}
	return n, err
}

// Write implements http.ResponseWriter.
func (w stuckWriter) Write([]byte) (int, error) {
	<-w.released
	return 0, io.ErrClosedPipe
}

// Guards against a gateway that runs out of memory because a faulty target sends long
// events without end, faster than callers read, and against claims of the callers that
// do not count these events or keep them.
func TestLongEventsShareMemory(t *testing.T) {
	is := is.New(t)
	s := newAnswerSite(t)
	s.server.Client = &http.Client{Transport: longEvents{}}
	s.listed = []topo.Target{{
		ID: "a", Started: 1, Service: "llm", Address: "a:1", DataCentre: "x", Slots: 200, Pace: 1, Card: "card", Held: topo.Layers{To: 8},
	}}
	s.targets["a:1"] = &answeringTarget{id: "a"}
	s.list()
	before := heapBytes()
	memory := budget.New(budget.Options{Bytes: maxStreamsHeap, Clock: timer.System{}})
	released := make(chan struct{})
	var wg sync.WaitGroup
	for i := range longStreams {
		r := httptest.NewRequest(http.MethodGet, "http://site.example/draft/x", nil)
		r.Header.Set("Request-Id", fmt.Sprint(i))
		r = r.WithContext(budget.WithClaim(r.Context(), memory.Open(nil)))
		wg.Go(func() {
			// A response that has begun is aborted by a panic.
			defer func() { _ = recover() }()
			s.server.ServeHTTP(stuckWriter{httptest.NewRecorder(), released}, r)
		})
	}
	time.Sleep(time.Second)
	held := heapBytes() - before
	t.Logf("%d MB held", held>>20)
	is.True(held < maxStreamsHeap)
	is.True(memory.Stats().Used > 1<<20)
	close(released)
	wg.Wait()
	for end := time.Now().Add(5 * time.Second); bufferedBytes(s) != "0" && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(bufferedBytes(s), "0")
	is.Equal(memory.Stats().Used, int64(0))
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// bufferedBytes returns the metric of the memory that is counted.
func bufferedBytes(s *answerSite) string {
	var text strings.Builder
	s.server.Metrics.WritePrometheus(&text)
	for line := range strings.SplitSeq(text.String(), "\n") {
		if value, ok := strings.CutPrefix(line, "shallotcourse_response_buffer_bytes "); ok {
			return value
		}
	}
	return "none"
}
