package lavretry

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"

	"github.com/cockroachdb/errors"
)

// ErrDeadline means that the next attempt would begin after the deadline.
var ErrDeadline = errors.New("no time is left for another try")

// Backoff spaces attempts with decorrelated jitter. Each pause is drawn at random
// between First and three times the previous pause, and is at most Longest.
type Backoff struct {
	First    time.Duration
	Longest  time.Duration
	previous time.Duration
}

// Next draws the next pause.
func (b *Backoff) Next() time.Duration {
	upper := max(3*b.previous, b.First+1)
	b.previous = min(b.First+rand.N(upper-b.First), b.Longest)
	return b.previous
}

// Wait pauses before the next attempt. If the pause would not end before the
// context's deadline, Wait returns ErrDeadline at once.
func (b *Backoff) Wait(ctx context.Context) error {
	pause := b.Next()
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= pause {
		return ErrDeadline
	}
	return lavpause.For(ctx, pause)
}
