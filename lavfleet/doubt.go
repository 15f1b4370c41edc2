package lavfleet

import "time"

// Times of doubt.
const (
	firstDoubt   = 500 * time.Millisecond
	longestDoubt = 4 * time.Second
)

// doubt is how long an endpoint that failed is passed over. Each failure in a
// row doubles the time; a good answer ends it.
type doubt struct {
	failures int
	until    time.Time
}

func (d *doubt) holds(now time.Time) bool { return now.Before(d.until) }

func (d *doubt) fail(now time.Time) {
	span := min(firstDoubt<<min(d.failures, 8), longestDoubt)
	d.failures++
	d.until = now.Add(span)
}

func (d *doubt) clear() { *d = doubt{} }
