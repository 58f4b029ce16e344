package link

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"shallotcourse/internal/fakes/relay"
	"shallotcourse/internal/wire"
)

type countingHandler struct {
	recorder
	n atomic.Int64
}

func (c *countingHandler) Receive(Peer, wire.Message) { c.n.Add(1) }

// BenchmarkSend measures the CPU and wall time of one message over loopback,
// both ends together, while the sender keeps the link busy.
func BenchmarkSend(b *testing.B) {
	for _, c := range []struct {
		name string
		m    wire.Message
	}{
		{"Token", wire.Token{Request: "0123456789abcdef", Attempt: 1, Position: 1000, Value: 32000}},
		{"Step8KB", wire.Step{Request: "0123456789abcdef", Attempt: 1, Position: 1000, Count: 1, Data: make([]byte, 8<<10)}},
	} {
		b.Run(c.name, func(b *testing.B) {
			count := &countingHandler{}
			from, to := newTestGroup(b, Config{}), newTestGroup(b, Config{Handler: count})
			from.Want(to.address)
			p := waitForPeer(b, from, to.address, nil)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				for int64(i)-count.n.Load() > 1000 {
					time.Sleep(10 * time.Microsecond)
				}
				if err := p.Send(c.m); err != nil {
					b.Fatal(err)
				}
			}
			waitFor(b, "all messages", func() bool { return count.n.Load() >= int64(b.N) })
			b.StopTimer()
			s := from.Stats()
			b.ReportMetric(float64(s.MessagesOut)/float64(s.FramesOut), "messages/frame")
		})
	}
}

// BenchmarkIdle measures the payload that an idle link sends, both directions
// together, without TCP and IP headers.
func BenchmarkIdle(b *testing.B) {
	from, to := newTestGroup(b, Config{}), newTestGroup(b, Config{})
	r, err := relay.Start("127.0.0.1:0", to.address)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	from.Want(r.Address())
	waitForPeer(b, from, r.Address(), nil)
	time.Sleep(time.Second)
	before := r.Stats().Bytes
	time.Sleep(3 * time.Second)
	b.ReportMetric(float64(r.Stats().Bytes-before)/3, "bytes/s")
}

// BenchmarkMemory measures the heap and stack memory of one idle link, both
// ends together.
func BenchmarkMemory(b *testing.B) {
	const links = 200
	to := newTestGroup(b, Config{})
	memoryInUse := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	var groups []*testGroup
	for range links {
		groups = append(groups, newTestGroup(b, Config{}))
	}
	before := memoryInUse()
	for _, g := range groups {
		g.Want(to.address)
	}
	waitFor(b, "all links", func() bool { return to.Stats().Links == links })
	time.Sleep(time.Second)
	b.ReportMetric(float64(memoryInUse()-before)/links, "bytes/link")
}
