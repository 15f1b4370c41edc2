package lavfleet

import (
	"slices"
	"time"
)

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

// remove takes back an event that was added at a time.
func (w *window) remove(at time.Time) {
	if i := slices.IndexFunc(w.times, at.Equal); i >= 0 {
		w.times = slices.Delete(w.times, i, i+1)
	}
}
