package lavhost

import (
	"context"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// leavingMessage tells peers that an endpoint has stated that it will leave, often
// before its entry says so. Peers act on it like on a statement to themselves.
type leavingMessage struct {
	Endpoint lavconfig.Incarnation `cbor:"1,keyasint"`
}

// broadcastLeaving informs the peers. One that misses the message learns of it
// from the endpoint.
func (p *peers) broadcastLeaving(life lavconfig.Incarnation) {
	if _, err := p.mesh.Broadcast(lavmesh.TopicLeaving, leavingMessage{Endpoint: life}); err != nil {
		p.logger.Warn().Err(err).Msg("failed to tell peers of a leaving endpoint")
	}
}

// handleLeaving records what a peer has learned from an endpoint.
func (p *peers) handleLeaving(_ context.Context, from string, body []byte) (any, error) {
	var m leavingMessage
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	if p.fleet.RecordLeaving(m.Endpoint) {
		p.logger.Info().Str("Endpoint", m.Endpoint.ID).Str("Peer", from).Msg("peer reports a leaving endpoint")
	}
	return nil, nil
}
