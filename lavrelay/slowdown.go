package lavrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/platform"
)

const (
	// overdueFactor times the expected time plus overdueSlack is the time after which a
	// first event is overdue, and the endpoints are queried for their slowdown.
	overdueFactor = 1.5
	overdueSlack  = 200 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 64 << 10
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

func (r *Relay) fetchReport(ctx context.Context, e lavconfig.Endpoint) (platform.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := lavconn.Request{
		Method:   http.MethodGet,
		Target:   platform.PathReport,
		HostName: e.Address.String(),
		Header:   http.Header{},
	}
	response, err := r.pool.Do(ctx, e.Address, request, namesNoRequest)
	if err != nil {
		return platform.Report{}, err
	}
	head := platform.DecodeResponse(response.Status, response.Header)
	defer func() { response.Close(head.IdleTimeout) }()
	r.recordStatements(e, head)
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return platform.Report{}, lavstep.Wrap(err, lavstep.EngineLoad, e.ID)
	}
	report, err := platform.DecodeReport(body)
	return report, lavstep.Wrap(err, lavstep.EngineLoad, e.ID)
}
