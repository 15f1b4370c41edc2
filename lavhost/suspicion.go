package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavmesh"
)

// suspicion is the message that says that its sender can't reach a host.
type suspicion struct {
	// Incarnation identifies the suspected host.
	Incarnation string `cbor:"1,keyasint"`
}

// PeerUnreachable implements lavmesh.PeerObserver. In a large fleet it
// broadcasts a suspicion. In a small one heartbeats decide which peers are
// alive.
func (p *peers) PeerUnreachable(incarnation string) {
	p.mu.Lock()
	known := p.byIncarnation[incarnation]
	suspected := known != nil && !isSmallFleet(len(p.view.Members)) && known.suspect(time.Now())
	if suspected {
		known.suspectedHere = true
	}
	p.mu.Unlock()
	if !suspected {
		return
	}
	p.logger.Info().Str("Peer", incarnation).Msg("peer unreachable")
	if _, err := p.mesh.Broadcast(lavmesh.TopicSuspicion, suspicion{Incarnation: incarnation}); err != nil {
		p.logger.Warn().Err(err).Str("Peer", incarnation).Msg("failed to send suspicion")
	}
}

// handleSuspicion handles a suspicion that a peer has sent. A suspected host
// answers with a heartbeat. The broadcast may not reach that host, since its
// sender can't, so that every host with a link to it passes the suspicion on.
func (p *peers) handleSuspicion(_ context.Context, _ string, body []byte) (any, error) {
	var s suspicion
	if err := lavmesh.Decode(body, &s); err != nil {
		return nil, err
	}
	if s.Incarnation == p.Self().Incarnation {
		p.announce()
		return nil, nil
	}
	p.mu.Lock()
	known := p.byIncarnation[s.Incarnation]
	if known != nil && known.suspect(time.Now()) {
		known.suspectedHere = false
	}
	p.mu.Unlock()
	p.mesh.Send(s.Incarnation, lavmesh.TopicSuspicion, s)
	return nil, nil
}

// announce makes this host send a heartbeat soon.
func (p *peers) announce() {
	select {
	case p.announced <- struct{}{}:
	default:
	}
}
