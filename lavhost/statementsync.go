package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// statementsResponse holds what endpoints have stated to the sender or its peers. It answers a
// peer that has joined the others.
type statementsResponse struct {
	Leaving []lavconfig.Incarnation `cbor:"1,keyasint,omitempty"`
	Limits  []limitMessage          `cbor:"2,keyasint,omitempty"`
}

// handleStatementsRequest answers a peer that requests the statements of endpoints.
func (p *peers) handleStatementsRequest(context.Context, string, []byte) (any, error) {
	leaving, limits := p.fleet.Statements()
	response := statementsResponse{Leaving: leaving}
	for life, l := range limits {
		response.Limits = append(response.Limits, newLimitMessage(life, l))
	}
	return response, nil
}

// syncStatements requests the statements of endpoints from a peer, once after this host has joined
// the others.
func (p *peers) syncStatements(ctx context.Context) {
	from, join, ok := p.statementSource()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response statementsResponse
	if err := p.mesh.Call(ctx, from, lavmesh.TopicStatements, struct{}{}, &response); err != nil {
		p.logger.Warn().Err(err).Str("Peer", from).Msg("failed to request the statements of endpoints from peer")
		return
	}
	for _, life := range response.Leaving {
		p.recordLeaving(life, from)
	}
	for _, m := range response.Limits {
		p.recordLimit(m, from)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statementsSyncedFor = join
}

// statementSource returns a peer that has the statements of endpoints, if this host needs them
// because it has joined the others, which is its join of that number.
func (p *peers) statementSource() (from string, join uint64, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statementsSyncedFor == p.joins {
		return "", 0, false
	}
	for id, known := range p.byIncarnation {
		if known.confirmed && now.Sub(known.lastHeartbeat) <= peerTimeout {
			return id, p.joins, true
		}
	}
	return "", 0, false
}
