package lavhost

import (
	"context"

	"lavenderrack.example/lavenderrack/lavpause"

	"github.com/uber-go/tally/v4"
)

// stateReport sets the gauges of what the host is running.
type stateReport struct {
	host  *Host
	scope tally.Scope
}

// Serve implements suture.Service.
func (s *stateReport) Serve(ctx context.Context) error {
	return lavpause.Every(ctx, reloadInterval, s.update)
}

func (s *stateReport) update() {
	h := s.host
	version := 0.0
	if index := h.state.Index(); index != nil {
		version = float64(index.Version())
	}
	_, confirmed := h.confirmation.check()
	s.scope.Gauge("desired_state_version").Update(version)
	s.scope.Gauge("state_confirmed").Update(gaugeOf(confirmed))
	s.scope.Gauge("draining").Update(gaugeOf(h.drain.started()))
	if h.ingress.account != nil {
		h.ingress.account.Publish()
	}
	s.scope.Gauge("hosts_dividing_bounds").Update(float64(h.fleet.RetryHosts()))
	s.scope.Gauge("retry_burst_withheld").Update(gaugeOf(h.fleet.RetryBurstWithheld()))
	s.scope.Gauge("members").Update(float64(len(h.peers.View().Members)))
}

func gaugeOf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
