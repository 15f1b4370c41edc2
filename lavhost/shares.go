package lavhost

import (
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
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

// Numbers of hosts to assume for the limits of cold endpoints. A host uses its share of them as soon as
// it serves requests, before every other host has heard of it.
const (
	// spareHosts is added to the number of hosts, since hosts may join at any time.
	spareHosts = 2
	// minHosts is the least number, also while fewer hosts are known.
	minHosts = 9
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
func (p *peers) recordList(askedAt time.Time) { p.recordMembers(askedAt, p.state.Members()) }

// recordMembers records which members the store lists, as asked at a time.
func (p *peers) recordMembers(askedAt time.Time, members []lavmember.Member) {
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

// describeShares adds to a heartbeat how this host divides bounds.
func (p *peers) describeShares(b *heartbeat) {
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	b.Hosts = p.roster.Counted()
	hosts, held := p.roster.Division(now)
	b.Divides, b.HeldMs = hosts, int(held.Milliseconds())
}

// recordShares records how the sender of a heartbeat divides bounds. The caller holds the lock.
func (p *peers) recordShares(host string, b heartbeat) {
	now := p.shareTime()
	p.roster.Reported(now, host, b.Hosts)
	p.roster.Divided(now, host, b.Divides, time.Duration(b.HeldMs)*time.Millisecond)
	if p.fleet.RetryBurstWithheld() {
		p.updateShares(now)
	}
}

// shareIndexes returns the indexes of hosts among those that divide the bounds. A host that is not
// counted is left out.
func (p *peers) shareIndexes(members []lavmember.Member) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	indexes := make(map[string]int, len(members))
	for _, m := range members {
		if i, ok := p.roster.Index(m.Host); ok {
			indexes[m.Incarnation] = i
		}
	}
	return indexes
}

// updateShares passes to the fleet among how many hosts the bounds are divided, and which share is
// that of this one. The caller holds the lock.
func (p *peers) updateShares(now time.Time) {
	hosts, mayUse := p.roster.Divide(now)
	p.fleet.SetRetryHosts(hosts, mayUse)
	// The limits of cold endpoints also bind a host that may not use its share: without any, it
	// could serve nothing.
	index, _ := p.roster.Index(p.self.Host)
	p.fleet.SetHosts(max(hosts+spareHosts, minHosts), index)
}
