package lab

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

type (
	// probe measures what one kind of object costs.
	probe struct {
		name  string
		per   string
		sizes []int
		// start sets up n objects and returns how to keep them busy for the
		// window and how to stop. Bytes counts what goes over the wire.
		start func(ctx context.Context, n int) (probed, error)
	}

	probed struct {
		// work runs for the window; nil only waits.
		work func(window time.Duration)
		// bytes returns the bytes on the wire so far; nil for none.
		bytes func() uint64
		stop  func()
	}

	// Point is one measurement.
	Point struct {
		Size int
		// HeapBytes is the live heap after collection, without what the
		// process held before.
		HeapBytes float64
		// CPU is user and system time per second, in cores.
		CPU float64
		// WireBytes is per second.
		WireBytes float64
	}

	// Slope is the result of one probe.
	Slope struct {
		Name   string
		Per    string
		Points []Point
		Heap   Fit
		CPU    Fit
		Wire   Fit
	}

	// SlopesReport holds all slopes.
	SlopesReport struct {
		Window time.Duration
		Slopes []Slope
	}
)

// Slopes runs the probes; each point is measured over the window.
func Slopes(ctx context.Context, clock timer.Service, window time.Duration) (SlopesReport, error) {
	r := SlopesReport{Window: window}
	for _, p := range probes(clock) {
		s := Slope{Name: p.name, Per: p.per}
		for _, n := range p.sizes {
			point, err := p.measure(ctx, clock, n, window)
			if err != nil {
				return r, err
			}
			s.Points = append(s.Points, point)
		}
		s.fit()
		r.Slopes = append(r.Slopes, s)
	}
	return r, nil
}

func (s *Slope) fit() {
	var x, heap, cpu, wire []float64
	for _, p := range s.Points {
		x = append(x, float64(p.Size))
		heap, cpu, wire = append(heap, p.HeapBytes), append(cpu, p.CPU), append(wire, p.WireBytes)
	}
	s.Heap, s.CPU, s.Wire = fit(x, heap), fit(x, cpu), fit(x, wire)
}

func (p probe) measure(ctx context.Context, clock timer.Service, n int, window time.Duration) (Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := liveHeap()
	on, err := p.start(ctx, n)
	if err != nil {
		return Point{}, err
	}
	defer on.stop()
	bytes := on.bytes
	if bytes == nil {
		bytes = func() uint64 { return 0 }
	}
	runtime.GC()
	cpu, wire, begun := processorTime(), bytes(), clock.Now()
	if on.work != nil {
		on.work(window)
	}
	if left := window - clock.Now().Sub(begun); left > 0 {
		if err := timer.Sleep(ctx, clock, left); err != nil {
			return Point{}, fault.New(fault.Canceled, "measurement was interrupted").WithCause(err)
		}
	}
	elapsed := clock.Now().Sub(begun).Seconds()
	point := Point{
		Size: n, CPU: (processorTime() - cpu).Seconds() / elapsed, WireBytes: float64(bytes()-wire) / elapsed,
	}
	point.HeapBytes = float64(liveHeap()) - float64(before)
	return point, nil
}

// liveHeap returns the heap in use after collection. The second collection
// frees what finalizers held.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
