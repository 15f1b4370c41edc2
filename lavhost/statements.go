package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// leavingMessage tells peers that an endpoint has stated that it will leave, often
// before its entry says so. Peers act on it like on a statement to themselves.
type leavingMessage struct {
	Endpoint lavconfig.Incarnation `cbor:"1,keyasint"`
}

// limitMessage tells peers of the limit that an endpoint has stated.
type limitMessage struct {
	Endpoint lavconfig.Incarnation `cbor:"1,keyasint"`
	// Stated is false if the endpoint states no limit any more.
	Stated    bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the statement was received. Clocks of hosts differ.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

func newLimitMessage(life lavconfig.Incarnation, l lavfleet.Limit) limitMessage {
	return limitMessage{Endpoint: life, Stated: l.Stated, PerSecond: l.PerSecond, Age: time.Since(l.At)}
}

func (m limitMessage) limit() lavfleet.Limit {
	return lavfleet.Limit{Stated: m.Stated, PerSecond: m.PerSecond, At: time.Now().Add(-max(m.Age, 0))}
}

// TellLeaving implements lavrelay.Peers. A peer that misses the message learns of it from the
// endpoint.
func (p *peers) TellLeaving(life lavconfig.Incarnation) {
	if _, err := p.mesh.Broadcast(lavmesh.TopicLeaving, leavingMessage{Endpoint: life}); err != nil {
		p.logger.Warn().Err(err).Msg("failed to tell peers of a leaving endpoint")
	}
}

// TellLimit implements lavrelay.Peers. A peer that misses the message learns of the limit from the
// endpoint.
func (p *peers) TellLimit(life lavconfig.Incarnation, l lavfleet.Limit) {
	if _, err := p.mesh.Broadcast(lavmesh.TopicLimit, newLimitMessage(life, l)); err != nil {
		p.logger.Warn().Err(err).Msg("failed to tell peers of the limit of an endpoint")
	}
}

// handleLeaving records what a peer has learned from an endpoint.
func (p *peers) handleLeaving(_ context.Context, from string, body []byte) (any, error) {
	var m leavingMessage
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	p.recordLeaving(m.Endpoint, from)
	return nil, nil
}

func (p *peers) recordLeaving(life lavconfig.Incarnation, from string) {
	if p.fleet.RecordLeaving(life) {
		p.logger.Info().Str("Endpoint", life.ID).Str("Peer", from).Msg("peer reports a leaving endpoint")
	}
}

// handleLimit records the limit that an endpoint has stated to a peer. If this host knows a later
// statement, it tells that one to all.
func (p *peers) handleLimit(_ context.Context, from string, body []byte) (any, error) {
	var m limitMessage
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	if later, tell := p.recordLimit(m, from); tell {
		p.TellLimit(m.Endpoint, later)
	}
	return nil, nil
}

func (p *peers) recordLimit(m limitMessage, from string) (later lavfleet.Limit, tell bool) {
	later, tell = p.fleet.MergeLimit(m.Endpoint, m.limit())
	if !tell {
		p.logger.Info().Str("Endpoint", m.Endpoint.ID).Str("Peer", from).Bool("Stated", m.Stated).
			Float64("PerSecond", m.PerSecond).Msg("peer reports the limit of an endpoint")
	}
	return later, tell
}
