package lavendpoint

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// Times of confirming.
const (
	// freshTime is how long ago an endpoint may have been asked as work begins
	// there. With the lag of its report, and the time that the work takes to
	// arrive, what it shows is less than a second old then.
	freshTime = 550 * time.Millisecond
	// confirmTimeout bounds the question to an endpoint whose owner is silent.
	confirmTimeout = 300 * time.Millisecond
)

// Confirm returns what is known of an endpoint as work is about to begin there. If
// it hasn't been heard of lately, since its owner has gone or has many endpoints,
// it is asked itself: it may have turned cold meanwhile, and would fall over.
func (t *Table) Confirm(ctx context.Context, e *Endpoint) (lavengine.LoadReport, error) {
	t.mu.Lock()
	h := t.reports[e.Name]
	t.mu.Unlock()
	if time.Since(h.at) <= freshTime {
		return h.report, nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	asked := time.Now()
	report, err := t.dial(e).Load(ctx)
	if err != nil {
		return lavengine.LoadReport{}, err
	}
	t.Hear(e.Name, report, asked)
	return report, nil
}
