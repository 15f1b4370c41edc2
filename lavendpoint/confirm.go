package lavendpoint

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// Time limits for confirming an endpoint's state before work begins there.
const (
	// maxPollAge is the maximum time since the last poll of an endpoint at which
	// work may begin there without another poll. Together with the delay of the
	// report and the time until the work arrives, the state in use is then less
	// than 1 s old.
	maxPollAge = 550 * time.Millisecond
	// confirmTimeout bounds the poll of an endpoint whose last poll is too old.
	confirmTimeout = 300 * time.Millisecond
)

// Confirm returns a load report that is recent enough to begin work at the
// endpoint. If the last poll is older than maxPollAge, because the endpoint's owner
// has failed or has many endpoints, it polls the endpoint directly: the endpoint
// may have turned cold since, and work sized for a warm endpoint would overload it.
func (t *Table) Confirm(ctx context.Context, e *Endpoint) (lavengine.LoadReport, error) {
	t.mu.Lock()
	last := t.reports[e.Name]
	t.mu.Unlock()
	if time.Since(last.polledAt) <= maxPollAge {
		return last.report, nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	polledAt := time.Now()
	report, err := t.dial(e).Load(ctx)
	if err != nil {
		return lavengine.LoadReport{}, err
	}
	t.RecordReport(e.Name, report, polledAt)
	return report, nil
}
