package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavmirror"
)

// stateRequest requests the entries of a peer.
type stateRequest struct {
	// Members is true if the peer must send the members that it knows too.
	Members bool `cbor:"1,keyasint,omitempty"`
}

// stateResponse is the response to a peer that requests this host's entries.
type stateResponse struct {
	// Packed holds the entries in the encoding of lavmirror.Compress. Good is true
	// if the sender's replica is confirmed. Settled is true if removals among
	// the entries are final, and false if the removed entries may have expired
	// only because the store was unavailable.
	Packed  []byte `cbor:"1,keyasint"`
	Good    bool   `cbor:"2,keyasint"`
	Settled bool   `cbor:"3,keyasint"`
	// Members are the members that the sender knows, if they were requested.
	Members []lavmember.Member `cbor:"4,keyasint,omitempty"`
	// Blocks are what the sender has blocked, whether or not the store has it.
	Blocks []lavcrash.Block `cbor:"5,keyasint,omitempty"`
}

// handleStateRequest answers a peer's request for this host's entries.
func (p *peers) handleStateRequest(_ context.Context, _ string, body []byte) (any, error) {
	var request stateRequest
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	_, confirmed := p.confirmation.check()
	packed, err := lavmirror.Compress(p.state.RelevantEntries())
	response := stateResponse{Packed: packed, Good: confirmed, Settled: p.follower.removalsFinal(), Blocks: p.crashes.currentBlocks()}
	if request.Members {
		response.Members = p.View().Members
	}
	return response, err
}

// syncFromPeer requests and merges the entries of a peer if the peer's digest
// has differed for longer than divergenceTolerance, or if this host's replica
// is unconfirmed. A response from a peer with a confirmed replica confirms this
// host's replica too.
func (p *peers) syncFromPeer(ctx context.Context) {
	epoch, confirmed := p.confirmation.check()
	from, ok := p.syncSource(confirmed)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response stateResponse
	if err := p.mesh.Call(ctx, from, lavmesh.TopicEntries, stateRequest{Members: !confirmed}, &response); err != nil {
		p.logger.Warn().Err(err).Str("Peer", from).Msg("failed to request entries from peer")
		return
	}
	entries, err := lavmirror.Decompress(response.Packed)
	if err != nil {
		p.logger.Warn().Err(err).Str("Peer", from).Msg("failed to decode entries from peer")
		return
	}
	p.state.apply(entries, response.Settled || p.follower.removalsFinal())
	p.crashes.addBlocks(response.Blocks...)
	p.mu.Lock()
	if source := p.byIncarnation[from]; source != nil {
		source.differsSince = time.Time{}
	}
	for _, m := range response.Members {
		if p.byIncarnation[m.Incarnation] == nil {
			p.upsert(m)
		}
	}
	p.mu.Unlock()
	if response.Good && p.confirmation.confirm(epoch) {
		p.logger.Info().Str("Peer", from).Msg("knowledge confirmed by a peer")
	}
}

// syncSource returns the incarnation of a live peer with a confirmed replica to
// request entries from. If this host's replica is confirmed too, the peer's
// digest must have differed for longer than divergenceTolerance.
func (p *peers) syncSource(confirmed bool) (string, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byIncarnation {
		if !known.confirmed || now.Sub(known.lastHeartbeat) > peerTimeout {
			continue
		}
		if !confirmed || !known.differsSince.IsZero() && now.Sub(known.differsSince) > divergenceTolerance {
			return id, true
		}
	}
	return "", false
}
