package lavhost

import (
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavshare"
)

// Terms on which hosts divide what all may take together. All hosts must use the same.
const (
	// shareLease is how long a host may use its share without contact with the store.
	shareLease = time.Minute
	// listInterval is the longest time between two reads of the list of members that counts as
	// uninterrupted. A host that relies on watchers reads it each idlePollInterval.
	listInterval = idlePollInterval + 4*maxResponseGap
)

// shareTerms returns the terms for the bounds in the settings.
func shareTerms(b lavfleet.Bounds) lavshare.Terms {
	return lavshare.Terms{Lease: shareLease, Window: b.Retry.CountedFor(), ListInterval: listInterval}
}

// shareTime returns the current time including that for which the machine was suspended.
func (p *peers) shareTime() time.Time { return time.Now().Add(p.confirmation.clock()) }

// recordRenewal records that the store has renewed this host's member entry.
func (p *peers) recordRenewal(askedAt time.Time) {
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Renewed(now, askedAt)
	p.updateShares(now)
}

// recordList records that the list of members has been read from the store.
func (p *peers) recordList(askedAt time.Time) {
	members := p.state.Members()
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Host
	}
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Listed(now, askedAt, names)
	p.updateShares(now)
}

// needsList reports whether this host must read the list of members at once.
func (p *peers) needsList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.NeedsList()
}

// countedHosts returns the number of hosts to report to peers.
func (p *peers) countedHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Counted()
}

// updateShares passes to the fleet among how many hosts the bounds are divided, and whether this
// one may use its share. The caller holds the lock.
func (p *peers) updateShares(now time.Time) {
	p.fleet.SetRetryHosts(p.roster.Hosts(), p.roster.MayUse(now))
}
