package lavretry

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"

	"github.com/cockroachdb/errors"
)

// ErrDeadline means that the next try would begin after the deadline.
var ErrDeadline = errors.New("no time is left for another try")

// Backoff spreads tries with decorrelated jitter: each pause is drawn between
// First and three times the pause before it, and is at most Longest.
type Backoff struct {
	First   time.Duration
	Longest time.Duration
	last    time.Duration
}

// Next draws the next pause.
func (b *Backoff) Next() time.Duration {
	upper := max(3*b.last, b.First+1)
	b.last = min(b.First+rand.N(upper-b.First), b.Longest)
	return b.last
}

// Wait pauses before the next try. If that pause would pass the context's
// deadline it returns ErrDeadline at once.
func (b *Backoff) Wait(ctx context.Context) error {
	pause := b.Next()
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= pause {
		return ErrDeadline
	}
	return lavpause.For(ctx, pause)
}
