package lavassert

import (
	"runtime"
	"time"
)

// heapInterval is the time between two readings of the heap.
const heapInterval = 2 * time.Millisecond

// HeapPeak runs body and returns the largest size of the heap meanwhile, in bytes, including what
// is not collected yet.
func HeapPeak(body func()) uint64 {
	runtime.GC()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() { peak <- watchHeap(stop) }()
	body()
	close(stop)
	return <-peak
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
