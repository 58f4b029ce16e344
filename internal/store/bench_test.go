package store

import (
	"fmt"
	"strings"
	"testing"

	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// BenchmarkApplyChange measures the cost of applying one change to
// configurations of up to 600 targets and 1,200 client accounts, and the size
// of an encoded snapshot.
func BenchmarkApplyChange(b *testing.B) {
	for _, targets := range []int{30, 150, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := New(nil)
			s.ApplySnapshot(NewSnapshot(1, sizedResources(targets)))
			m, err := encodeSnapshot(s.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			encoded, err := wire.Encode(m)
			if err != nil {
				b.Fatal(err)
			}
			body := []byte(`{"DataCentre":"cartago-a","Region":"cartago","Agent":"10.0.0.1:7400","Service":"app-socios","Draining":true}`)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				ok := s.ApplyChanges([]resrc.Change{{
					Revision: uint64(i) + 2, Operation: resrc.OperationPut, Kind: resrc.KindTarget, Name: "target-1", Body: body,
				}})
				if !ok {
					b.Fatal("the change does not apply")
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes/snapshot")
		})
	}
}

func sizedResources(targets int) []resrc.Resource {
	var list []resrc.Resource
	for i := range targets {
		list = append(list, resrc.Resource{Kind: resrc.KindTarget, Name: fmt.Sprintf("target-%d", i), Revision: 1, Spec: resrc.Target{
			DataCentre: "cartago-a", Region: "cartago", Agent: "10.0.0.1:7400", Accelerator: "kind-1", Version: "oak-1",
			Layers: resrc.LayerRange{From: 0, To: 20}, Role: "Mixed", ChecksFencing: true,
		}})
	}
	for i := range 2 * targets {
		list = append(list, resrc.Resource{Kind: resrc.KindClientAccount, Name: fmt.Sprintf("account-%d", i), Revision: 1, Spec: resrc.ClientAccount{
			KeyHashes: []string{strings.Repeat("0123456789abcdef", 4)}, Weight: 1, RequestsPerSecond: 10, Burst: 20, Concurrency: 50,
		}})
	}
	return list
}
