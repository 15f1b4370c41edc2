package lavhost

import (
	"context"

	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavmirror"
)

// entryUpdate is the message that sends changed entries to all peers.
type entryUpdate struct {
	// Packed holds the entries in the encoding of lavmirror.Compress.
	Packed []byte `cbor:"1,keyasint"`
	// Settled is true if removals among the entries are final, and false if the
	// removed entries may have expired only because the store was unavailable.
	Settled bool `cbor:"2,keyasint"`
}

// handleUpdate merges changed entries from a peer.
func (p *peers) handleUpdate(_ context.Context, _ string, body []byte) (any, error) {
	var update entryUpdate
	if err := lavmesh.Decode(body, &update); err != nil {
		return nil, err
	}
	changed, err := lavmirror.Decompress(update.Packed)
	if err != nil {
		return nil, err
	}
	p.state.apply(changed, update.Settled || p.follower.removalsFinal())
	return nil, nil
}

// broadcastUpdate sends changed entries to all peers.
func (p *peers) broadcastUpdate(changed []lavmirror.Entry, removalsFinal bool) {
	packed, err := lavmirror.Compress(changed)
	if err != nil {
		p.logger.Error().Err(err).Msg("failed to encode changed entries")
		return
	}
	if _, err := p.mesh.Broadcast(lavmesh.TopicNews, entryUpdate{Packed: packed, Settled: removalsFinal}); err != nil {
		p.logger.Warn().Err(err).Msg("failed to send changed entries")
	}
}
