package lavassert

import (
	"runtime"
	"testing"
	"time"
)

const (
	// hostBytes is the memory of a host, which docs/CAPACITY.md states.
	hostBytes uint64 = 128_000_000
	// heapInterval is the time between two readings of the heap.
	heapInterval = 2 * time.Millisecond
)

// FitsIntoHost runs body and reports an error if the heap meanwhile exceeds the memory of a host,
// including what is not collected yet.
func FitsIntoHost(t testing.TB, body func()) {
	t.Helper()
	runtime.GC()
	stop, peak := make(chan struct{}), make(chan uint64, 1)
	go func() { peak <- watchHeap(stop) }()
	body()
	close(stop)
	largest := <-peak
	t.Logf("peak of the heap: %d bytes", largest)
	AtMost(t, "peak of the heap in bytes", largest, hostBytes)
}

// watchHeap returns the largest size of the heap until stop is closed.
func watchHeap(stop <-chan struct{}) uint64 {
	var largest uint64
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		largest = max(largest, stats.HeapAlloc)
		select {
		case <-stop:
			return largest
		case <-time.After(heapInterval):
		}
	}
}
