package lavload_test

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavload"
)

// A histogram records durations with three significant digits.
func ExampleHistogram() {
	h := lavload.NewHistogram()
	for i := range 100 {
		h.Add(time.Duration(i+1) * 10 * time.Millisecond)
	}
	q := h.Quantiles()
	fmt.Printf("%d times, half within %.2f s, 99 in 100 within %.2f s\n", q.Count, q.P50, q.P99)
	// Output:
	// 100 times, half within 0.50 s, 99 in 100 within 0.99 s
}
