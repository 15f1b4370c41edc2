package lavfleet

import "time"

// window counts events over a sliding period. The caller passes the current time.
type window struct {
	span  time.Duration
	times []time.Time
}

// count returns the number of events in the period that ends now.
func (w *window) count(now time.Time) int {
	first := 0
	for first < len(w.times) && now.Sub(w.times[first]) > w.span {
		first++
	}
	w.times = w.times[first:]
	return len(w.times)
}

func (w *window) add(now time.Time) { w.times = append(w.times, now) }
