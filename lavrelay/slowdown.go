package lavrelay

import (
	"context"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

const (
	// overdueFactor times the expected time plus overdueSlack is the time after which a
	// first event is overdue, and the endpoints are queried for their slowdown.
	overdueFactor = 1.5
	overdueSlack  = 200 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
)

// watchFirstEvent queries all endpoints of a placement for their slowdown if the first
// event is overdue, since any one of them may delay the prefill. The result stops the
// watch.
func (t *task) watchFirstEvent(ctx context.Context, c *placement) (stop func() bool) {
	if c.plan.Expected <= 0 {
		return func() bool { return true }
	}
	due := time.Duration(overdueFactor*float64(c.plan.Expected)) + overdueSlack
	timer := time.AfterFunc(due, func() {
		for _, e := range append([]lavconfig.Endpoint{c.endpoint}, c.helpers...) {
			t.querySlowdown(ctx, e)
		}
	})
	return timer.Stop
}

// querySlowdown queries an endpoint in the background unless it was queried recently.
func (t *task) querySlowdown(ctx context.Context, e lavconfig.Endpoint) {
	if ctx.Err() == nil && t.relay.fleet.ClaimSlowdownQuery(e.Incarnation()) {
		t.relay.background.Go(func() { t.relay.querySlowdown(ctx, e) })
	}
}

// querySlowdown fetches an endpoint's slowdown and stores it in the fleet.
func (r *Relay) querySlowdown(ctx context.Context, e lavconfig.Endpoint) {
	report, err := r.fetchReport(ctx, e)
	if err != nil {
		r.logger.Warn().Str("Endpoint", e.ID).Err(err).Msg("could not fetch the slowdown report of an endpoint")
		return
	}
	r.fleet.RecordSlowdown(e.Incarnation(), report.Pace)
	if report.Pace > 1 {
		r.logger.Info().Str("Endpoint", e.ID).Float64("Pace", report.Pace).Msg("endpoint is slow")
	}
}

// fetchReport asks an endpoint for its report. The report of another incarnation at the address is none.
func (r *Relay) fetchReport(ctx context.Context, e lavconfig.Endpoint) (platform.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := r.askEndpoint(ctx, e, lavconn.Request{
		Method:   http.MethodGet,
		Target:   platform.PathReport,
		HostName: e.Address.String(),
		Header:   platform.ReportHeader(e.ID),
	})
	if err != nil {
		return platform.Report{}, lavstep.Wrap(err, lavstep.EngineLoad, e.ID)
	}
	if answer.status != http.StatusOK || !answer.isJSON {
		return platform.Report{}, lavstep.Wrap(errNoControlAnswer, lavstep.EngineLoad, e.ID)
	}
	report, err := platform.DecodeReport(answer.body)
	if err == nil && isOtherStart(report.StartedAt, e.StartedAt) {
		err = errors.New("report is that of another incarnation")
	}
	return report, lavstep.Wrap(err, lavstep.EngineLoad, e.ID)
}

// isOtherStart reports whether two times of a start are known and differ.
func isOtherStart(a, b time.Time) bool { return !a.IsZero() && !b.IsZero() && !a.Equal(b) }
