package proxy

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
)

// endlessBody never ends. It records the most memory that all bodies take at
// the same time.
type endlessBody struct {
	buffers *responseBuffers
	mu      *sync.Mutex
	most    *int64
}

func (b endlessBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.most = max(*b.most, b.buffers.bytes.Load())
	return len(p), nil
}

// Guards against a process that runs out of memory because targets send bodies
// without end to many requests at the same time.
func TestBodiesWithoutEndShareMemory(t *testing.T) {
	const bodies = 200
	is := is.New(t)
	var (
		buffers responseBuffers
		mu      sync.Mutex
		most    int64
		wg      sync.WaitGroup
	)
	errs := make([]*fault.Error, bodies)
	for i := range errs {
		wg.Go(func() { _, errs[i] = buffers.readAll(t.Context(), nil, endlessBody{&buffers, &mu, &most}, -1) })
	}
	wg.Wait()
	for _, err := range errs {
		is.Equal(err.Code, fault.TargetLost)
		is.Equal(err.Outcome, fault.Unknown) // the request has run
	}
	is.True(most <= maxBufferedBytes)
	is.Equal(buffers.bytes.Load(), int64(0))
	body, err := buffers.readAll(t.Context(), nil, strings.NewReader(strings.Repeat("x", 100_000)), -1)
	is.True(err == nil)
	is.Equal(len(body), 100_000)
	_, err = buffers.readAll(t.Context(), nil, io.MultiReader(strings.NewReader("x"), errorReader{}), -1)
	is.Equal(err.Code, fault.TargetLost)
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("reset") }
