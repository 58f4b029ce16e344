package budget

import (
	"testing"

	"shallotcourse/internal/timer"
)

// benchConns is about the number of connections of a gateway with 4,100 descriptors.
const benchConns = 3000

// BenchmarkRequest measures the calls of one ordinary request beside many connections.
func BenchmarkRequest(b *testing.B) {
	memory := New(Options{Bytes: 256 * megabyte, Clock: timer.System{}})
	for range benchConns {
		_ = memory.Open(nil).Grow(ended(), 32<<10)
	}
	c := memory.Open(nil)
	ctx := ended()
	b.ReportAllocs()
	for b.Loop() {
		c.SetPhase(Receiving)
		c.SetAccount("a")
		_ = c.Grow(ctx, 2000)
		c.Progress()
		_ = c.BeginRun()
		_ = c.Grow(ctx, 1000)
		c.endWrite(c.beginWrite())
		c.Shrink(1000)
		c.Shrink(2000)
		c.SetPhase(Receiving)
	}
}

// BenchmarkRefusal measures a refusal beside many connections of which none gives way, as
// in a crowd that finds the budget full.
func BenchmarkRefusal(b *testing.B) {
	memory := New(Options{Bytes: benchConns * 32 << 10, Clock: timer.System{}})
	for range benchConns {
		c := memory.Open(nil)
		_ = c.Grow(ended(), 32<<10)
		c.SetPhase(Running)
	}
	c := memory.Open(nil)
	ctx := ended()
	b.ReportAllocs()
	for b.Loop() {
		if c.Grow(ctx, 2000) == nil {
			b.Fatal("granted")
		}
	}
}

// BenchmarkEviction measures a claim for which one of many others gives way.
func BenchmarkEviction(b *testing.B) {
	memory := New(Options{Bytes: benchConns * 32 << 10, Clock: timer.System{}})
	open := func() {
		var c *Claim
		c = memory.Open(func() { c.Close() })
		_ = c.Grow(ended(), 32<<10)
	}
	for range benchConns {
		open()
	}
	b.ReportAllocs()
	for b.Loop() {
		open()
	}
}
