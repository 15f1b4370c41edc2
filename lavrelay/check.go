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
	// overdueFactor and overdueSlack say how much longer than expected a first
	// event may take before the endpoints are asked for their pace.
	overdueFactor = 1.5
	overdueSlack  = 200 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// maxReportBytes bounds a report.
	maxReportBytes = 64 << 10
)

// watchPace asks the endpoints of a choice for their pace if the first event is
// overdue: any one of them may hold up the reading. The result stops the watch.
func (t *task) watchPace(ctx context.Context, c *choice) (stop func() bool) {
	if c.plan.Expected <= 0 {
		return func() bool { return true }
	}
	due := time.Duration(overdueFactor*float64(c.plan.Expected)) + overdueSlack
	timer := time.AfterFunc(due, func() {
		for _, e := range append([]lavconfig.Endpoint{c.endpoint}, c.helpers...) {
			t.askPace(ctx, e)
		}
	})
	return timer.Stop
}

// askPace asks an endpoint for its pace unless a host has just done so.
func (t *task) askPace(ctx context.Context, e lavconfig.Endpoint) {
	if ctx.Err() == nil && t.relay.fleet.AskPace(e.Incarnation()) {
		t.relay.running.Go(func() { t.relay.askPace(ctx, e) })
	}
}

// askPace asks one endpoint for its pace and keeps the answer.
func (r *Relay) askPace(ctx context.Context, e lavconfig.Endpoint) {
	report, err := r.report(ctx, e)
	if err != nil {
		r.logger.Warn().Str("Endpoint", e.ID).Err(err).Msg("no report")
		return
	}
	r.fleet.TellPace(e.Incarnation(), report.Pace)
	if report.Pace > 1 {
		r.logger.Info().Str("Endpoint", e.ID).Float64("Pace", report.Pace).Msg("endpoint is slow")
	}
}

func (r *Relay) report(ctx context.Context, e lavconfig.Endpoint) (platform.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := lavconn.Request{
		Method:   http.MethodGet,
		Target:   platform.PathReport,
		HostName: e.Address.String(),
		Header:   http.Header{},
	}
	answer, err := r.pool.Do(ctx, e.Address, request, func(*http.Response, bool) bool { return true })
	if err != nil {
		return platform.Report{}, err
	}
	head := platform.DecodeAnswer(answer.Status, answer.Header)
	defer func() { answer.Close(head.KeepIdle) }()
	body, err := io.ReadAll(io.LimitReader(answer, maxReportBytes))
	if err != nil {
		return platform.Report{}, lavstep.Wrap(err, lavstep.EngineLoad, e.ID)
	}
	report, err := platform.DecodeReport(body)
	return report, lavstep.Wrap(err, lavstep.EngineLoad, e.ID)
}
