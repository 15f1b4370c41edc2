package lavnode

import (
	"context"

	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstream"
)

// ownerRequest asks a host to hand over the stream of the request HandOver, to
// report which of the streams in Claims it still serves, or both.
type ownerRequest struct {
	HandOver lavrequest.ID
	Claims   []lavrequest.ID
}

// ownerResponse lists the requested streams that the host still serves.
type ownerResponse struct {
	Claimed []lavrequest.ID
}

func (c *calls) handleOwner(_ context.Context, _ string, body []byte) (any, error) {
	var request ownerRequest
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	if request.HandOver != "" {
		c.activeStreams.HandOver(request.HandOver)
	}
	var response ownerResponse
	for _, id := range request.Claims {
		if c.activeStreams.Contains(id) {
			response.Claimed = append(response.Claimed, id)
		}
	}
	return response, nil
}

// handOver asks the host that relays a stream to stop relaying it without
// cancelling it at its engine. An error is ignored: a host that has died can't
// cancel the stream.
func (c *calls) handOver(ctx context.Context, t *lavstream.Token) {
	if t.Host == c.node.members.Self().Incarnation {
		c.activeStreams.HandOver(t.Request)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var response ownerResponse
	_ = c.node.mesh.Call(ctx, t.Host, lavmesh.TopicOwner, ownerRequest{HandOver: t.Request}, &response)
}

// activeStreamClaims implements lavgang.Claims over the mesh.
type activeStreamClaims struct{ *calls }

// Claimed implements lavgang.Claims. It asks the host that created the ID first. If
// that host doesn't serve the stream or is no longer a member, any other host may
// have taken the stream over, so that all peers are asked.
func (l activeStreamClaims) Claimed(ctx context.Context, id lavrequest.ID) (claimed, known bool) {
	if l.activeStreams.Contains(id) {
		return true, true
	}
	if _, ok := l.node.members.View().Member(id.Host()); ok && id.Host() != l.node.members.Self().Incarnation {
		claimed, known = l.query(ctx, id.Host(), id)
		if claimed || !known {
			return claimed, known
		}
	}
	unclaimed := allPeers(ctx, l.node.peers(), func(ctx context.Context, peer string) bool {
		claimed, known := l.query(ctx, peer, id)
		return known && !claimed
	})
	// If a peer claims the stream or doesn't answer, the result is unknown and
	// the stream is not released.
	return false, unclaimed
}

func (l activeStreamClaims) query(ctx context.Context, peer string, id lavrequest.ID) (claimed, known bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var response ownerResponse
	err := l.node.mesh.Call(ctx, peer, lavmesh.TopicOwner, ownerRequest{Claims: []lavrequest.ID{id}}, &response)
	return len(response.Claimed) > 0, err == nil
}
