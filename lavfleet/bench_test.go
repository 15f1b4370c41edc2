package lavfleet

import (
	"fmt"
	"testing"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// BenchmarkSnapshot measures the choice of endpoints before 1,100 of them, without limits and with
// limits of all.
func BenchmarkSnapshot(b *testing.B) {
	const endpoints = 1100
	for _, limited := range []int{0, endpoints} {
		b.Run(fmt.Sprint(limited, "Limited"), func(b *testing.B) {
			f := New(testBounds)
			var all []lavconfig.Endpoint
			for i := range endpoints {
				all = append(all, endpoint(fmt.Sprint("e", i), "a"))
			}
			f.Update([]lavconfig.Service{engineService}, all, nil)
			for i := range limited {
				f.RecordLimit(all[i].Incarnation(), 2)
			}
			for b.Loop() {
				f.Snapshot("m", skipNone)
				f.PermitAsks(16)
			}
		})
	}
}
