package lavfleet

import "time"

// Bounds of the backoff time.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// backoff makes an endpoint the last choice for a time after a failure. Each consecutive
// failure doubles the time, up to maxBackoff. A good answer ends it.
type backoff struct {
	failures int
	until    time.Time
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

func (b *backoff) recordFailure(now time.Time) {
	span := min(minBackoff<<min(b.failures, 8), maxBackoff)
	b.failures++
	b.until = now.Add(span)
}

func (b *backoff) reset() { *b = backoff{} }
