package lavhost

import "time"

// Bounds of the time that a host spends on decisions for all hosts. Its own requests need the rest.
const (
	maxWorkShare = 0.5
	maxWorkBurst = 100 * time.Millisecond
)

// workBudget bounds the time spent on a kind of work to maxWorkShare of all time.
type workBudget struct {
	// spent is the time spent, less the share of the time that has passed, as of at.
	spent time.Duration
	at    time.Time
}

// exhausted reports whether there must be no work now.
func (b *workBudget) exhausted(now time.Time) bool {
	b.advance(now)
	return b.spent >= maxWorkBurst
}

// spend records that work took a time.
func (b *workBudget) spend(now time.Time, took time.Duration) {
	b.advance(now)
	b.spent += took
}

func (b *workBudget) advance(now time.Time) {
	b.spent = max(b.spent-time.Duration(maxWorkShare*float64(now.Sub(b.at))), 0)
	b.at = now
}
