package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
)

// Serve implements suture.Service. At each status interval it adds the members
// that the store lists, drops missing endpoints, sends a heartbeat if one is
// due, and compares entries with the peers.
func (p *peers) Serve(ctx context.Context) error {
	var lastSent time.Time
	for ctx.Err() == nil {
		p.waitForStatus(ctx, lastSent)
		p.addStoreMembers()
		p.state.dropMissing(p.follower.unavailable(), p.follower.removalsFinal())
		if p.heartbeatDue(lastSent) {
			lastSent = time.Now()
			p.sendHeartbeat()
		}
		p.syncFromPeer(ctx)
		p.syncStatements(ctx)
	}
	return ctx.Err()
}

// waitForStatus waits for the status interval, or until this host must announce
// itself.
func (p *peers) waitForStatus(ctx context.Context, lastSent time.Time) {
	timer := time.NewTimer(p.statusInterval())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.announced:
		_ = lavpause.For(ctx, announceInterval-time.Since(lastSent))
		p.mu.Lock()
		p.mustAnnounce = true
		p.mu.Unlock()
	}
}

// heartbeatDue reports whether this host must send a heartbeat: at each status
// interval if it sends its status, otherwise at the liveness interval, or sooner
// while it joins the others.
func (p *peers) heartbeatDue(lastSent time.Time) bool {
	_, confirmed := p.confirmation.check()
	if !confirmed || p.sendsStatus() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	announce := p.mustAnnounce
	p.mustAnnounce = false
	interval := livenessIntervalFor(len(p.view.Members))
	if time.Since(p.joinedAt) < joinTime {
		interval = min(interval, joinInterval)
	}
	return announce || time.Since(lastSent) >= interval
}

// sendsStatus reports whether peers may rely on the status in this host's
// heartbeats.
func (p *peers) sendsStatus() bool { return isSmallFleet(len(p.View().Members)) || p.watches() }

// statusInterval returns the time between two status heartbeats of this host.
func (p *peers) statusInterval() time.Duration {
	interval := statusIntervalFor(len(p.View().Members))
	if p.watches() {
		return min(interval, watcherStatusInterval)
	}
	return interval
}
