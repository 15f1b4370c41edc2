package lavrelay

import (
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform"
)

// LeaveFunc tells the peers that an endpoint has stated that it will leave.
type LeaveFunc func(life lavconfig.Incarnation)

// recordStatements records what an endpoint has stated about itself in a response. A
// misdirected request was answered by another endpoint.
func (r *Relay) recordStatements(e lavconfig.Endpoint, head platform.Response) {
	if head.Misdirected {
		return
	}
	life := e.Incarnation()
	if head.Leaving && r.fleet.RecordLeaving(life) {
		r.metrics.leaving.Inc(1)
		r.logger.Info().Str("Endpoint", e.ID).Msg("endpoint states that it will leave")
		r.tellLeaving(life)
	}
	if head.LimitStated {
		r.metrics.limited.Inc(1)
	}
	if head.RetryAfter > 0 {
		r.metrics.leftAlone.Inc(1)
		r.logger.Info().Str("Endpoint", e.ID).Dur("RetryAfter", head.RetryAfter).Msg("endpoint wants no requests")
		r.fleet.RecordRetryAfter(life, head.RetryAfter)
	}
}
