package lavpermit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrant measures one answer of a holder that 430 hosts ask for one bound.
func BenchmarkGrant(b *testing.B) {
	const hosts, perSecond = 430, 2000
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprint("host-", i)
	}
	a := NewAllocator[int]()
	now := epoch
	for i := range b.N {
		now = now.Add(2 * time.Millisecond)
		a.Grant(now, 0, perSecond, names[i%hosts], 4)
	}
}
