package standin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"papayastair.dev/papayastair/wire"
)

// BenchmarkReportSize reports the size of a load report by the number of
// models that the engine serves, for docs/CAPACITY.md.
func BenchmarkReportSize(b *testing.B) {
	for _, models := range []int{0, 2, 4, 8} {
		b.Run(fmt.Sprintf("Models%d", models), func(b *testing.B) {
			a := NewAccelerators(wire.BackendServer{
				Name:  "engine-1",
				Slots: 16,
				Accelerators: []wire.Accelerator{{
					Name:        "0",
					MemoryBytes: 1 << 40,
				}},
			}, NewWeightStore())
			for i := range models {
				a.Apply(wire.Order{
					ID:          fmt.Sprint(i),
					Action:      wire.OrderActionLoad,
					Model:       fmt.Sprintf("badge-layout-%d", i),
					Version:     "1",
					Accelerator: "0",
					MemoryBytes: 1 << 33,
				}, time.Now().Add(-time.Hour))
			}
			var body []byte
			var err error
			for b.Loop() {
				if body, err = json.Marshal(a.Report(time.Now())); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}
