package lavrelay

import (
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"
)

// Peers are told what endpoints state about themselves, once for each statement.
type Peers interface {
	// TellLeaving tells that an endpoint has stated that it will leave.
	TellLeaving(life lavconfig.Incarnation)
	// TellLimit tells of the limit that an endpoint has stated, or that it states none any more.
	TellLimit(life lavconfig.Incarnation, l lavfleet.Limit)
}

// noPeers are the peers of a host that has none.
type noPeers struct{}

func (noPeers) TellLeaving(lavconfig.Incarnation)               {}
func (noPeers) TellLimit(lavconfig.Incarnation, lavfleet.Limit) {}

// recordStatements records what an endpoint has stated about itself in a response. A
// misdirected request was answered by another endpoint.
func (r *Relay) recordStatements(e lavconfig.Endpoint, head platform.Response) {
	if head.Misdirected {
		return
	}
	r.recordUnknown(e, head.Unknown)
	life := e.Incarnation()
	if head.Leaving && r.fleet.RecordLeaving(life) {
		r.metrics.leaving.Inc(1)
		r.logger.Info().Str("Endpoint", e.ID).Msg("endpoint states that it will leave")
		r.peers.TellLeaving(life)
	}
	if head.LimitStated {
		r.metrics.limited.Inc(1)
		if limit, isNew := r.fleet.RecordLimit(life, head.RequestsPerSecond); isNew {
			r.logger.Info().Str("Endpoint", e.ID).Float64("PerSecond", limit.PerSecond).Msg("endpoint limits requests")
			r.peers.TellLimit(life, limit)
		}
	}
	if head.RetryAfter > 0 {
		r.metrics.leftAlone.Inc(1)
		r.logger.Info().Str("Endpoint", e.ID).Dur("RetryAfter", head.RetryAfter).Msg("endpoint wants no requests")
		r.fleet.RecordRetryAfter(life, head.RetryAfter)
	}
}

// recordNoLimit records that an endpoint states no limit in its answer to a request. Only a success
// counts: a failure may come from something before the endpoint.
func (r *Relay) recordNoLimit(e lavconfig.Endpoint, status int, head platform.Response, sentAt time.Time) {
	if head.LimitStated || status < http.StatusOK || status >= http.StatusMultipleChoices {
		return
	}
	if limit, isNew := r.fleet.RecordNoLimit(e.Incarnation(), sentAt); isNew {
		r.logger.Info().Str("Endpoint", e.ID).Msg("endpoint limits requests no longer")
		r.peers.TellLimit(e.Incarnation(), limit)
	}
}

// recordUnknown counts statements that this version doesn't know, and logs each name once.
func (r *Relay) recordUnknown(e lavconfig.Endpoint, names []string) {
	for _, name := range names {
		r.metrics.unknown.Inc(1)
		if _, logged := r.unknownNames.LoadOrStore(name, true); !logged {
			r.logger.Warn().Str("Endpoint", e.ID).Str("Name", name).Msg("endpoint states what this version doesn't know")
		}
	}
}
