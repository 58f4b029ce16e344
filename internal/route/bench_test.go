package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// benchView returns a view at the scale that the router is designed for: 600 targets
// in 7 data centres, with 8 model versions split into 4 layer ranges.
func benchView() View {
	var targets []Target
	for i := range 600 {
		from := i / 8 % 4 * 20
		version := fmt.Sprint("v", i%8)
		targets = append(targets, Target{
			Name: fmt.Sprint("t", i), Spec: resrc.Target{DataCentre: fmt.Sprint("d", i%7), Region: fmt.Sprint("r", i%7/3)},
			Load: wire.Load{
				Ready: true, Version: version, Limit: 64, Open: i % 40, StepTime: 8 * time.Millisecond,
				Layers: resrc.LayerRange{From: from, To: from + 20},
			},
		})
	}
	return NewView(targets)
}

// BenchmarkChoose measures the choice of one chain from benchView.
func BenchmarkChoose(b *testing.B) {
	v, random := benchView(), rand.New(rand.NewPCG(1, 1))
	q := Query{Version: "v3", Layers: 80, DataCentre: "d0", Region: "r0", Prefix: 7}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := Choose(v, q, random); !ok {
			b.Fatal("no chain")
		}
	}
}

// BenchmarkLoad measures one load report applied to benchView.
func BenchmarkLoad(b *testing.B) {
	v := benchView()
	l := wire.Load{Target: "t300", Ready: true}
	b.ReportAllocs()
	for b.Loop() {
		v = v.WithLoad(l, 3)
	}
}
