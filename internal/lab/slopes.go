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
	// probe measures the resource use of one kind of object by its number.
	probe struct {
		name  string
		per   string
		sizes []int
		// start sets up n objects.
		start func(ctx context.Context, n int) (probeRun, error)
	}

	// probeRun is a probe that has been set up.
	probeRun struct {
		// work keeps the objects busy for the window; nil if they need no work.
		work func(window time.Duration)
		// bytes returns the bytes on the wire so far; nil if there is no
		// traffic.
		bytes func() uint64
		stop  func()
	}

	// Point is the measurement at one number of objects.
	Point struct {
		Size int
		// HeapBytes is the growth of the live heap after garbage collection
		// since before the objects were set up.
		HeapBytes float64
		// CPU is the user and system time per second, in cores.
		CPU float64
		// WireBytes is the traffic in bytes per second.
		WireBytes float64
	}

	// Slope is the result of one probe, with lines fitted through its points.
	Slope struct {
		Name   string
		Per    string
		Points []Point
		Heap   Fit
		CPU    Fit
		Wire   Fit
	}

	// SlopesReport holds the results of all probes.
	SlopesReport struct {
		Window time.Duration
		Slopes []Slope
	}
)

// Slopes runs all probes. Each point is measured over the window.
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
	run, err := p.start(ctx, n)
	if err != nil {
		return Point{}, err
	}
	defer run.stop()
	bytes := run.bytes
	if bytes == nil {
		bytes = func() uint64 { return 0 }
	}
	runtime.GC()
	cpu, wire, start := processCPU(), bytes(), clock.Now()
	if run.work != nil {
		run.work(window)
	}
	if left := window - clock.Now().Sub(start); left > 0 {
		if err := timer.Sleep(ctx, clock, left); err != nil {
			return Point{}, fault.New(fault.Canceled, "measurement was interrupted").WithCause(err)
		}
	}
	elapsed := clock.Now().Sub(start).Seconds()
	point := Point{
		Size: n, CPU: (processCPU() - cpu).Seconds() / elapsed, WireBytes: float64(bytes()-wire) / elapsed,
	}
	point.HeapBytes = float64(liveHeap()) - float64(before)
	return point, nil
}

// liveHeap returns the size of the live heap after garbage collection. Objects
// with finalizers are freed only by the second collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processCPU returns the user and system time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
