package lavshare

import (
	"slices"
	"time"
)

// Handover is what a host that ends leaves to the one that starts again under its name.
type Handover struct {
	// Names are the hosts that it counted.
	Names []string
	// Hosts is the number by which it divided bounds, and Held for how long it has used no share of a
	// division by fewer.
	Hosts int
	Held  time.Duration
}

// Handover returns what this host leaves to its successor. It returns false if it may not use its share and
// has taken up none, since the successor then has nothing to take up.
func (r *Roster) Handover(now time.Time) (Handover, bool) {
	hosts, mayUse := r.Divide(now)
	left := Handover{Names: slices.Clone(r.names), Hosts: hosts, Held: now.Sub(r.divided.since)}
	return left, mayUse || r.resumed && r.leased(now)
}

// TakeUp makes this host go on with the share of its predecessor, which must have ended within Terms.Lease
// and have left the handover to this host alone. It must be called after Renewed. The share may be used
// once the list of members has been read since, and the hosts on it have stated that they left room for
// it during the window.
func (r *Roster) TakeUp(now time.Time, h Handover) {
	if r.joinedAt.IsZero() {
		return
	}
	for _, name := range h.Names {
		r.Heard(name)
	}
	for _, known := range r.hosts {
		// The others may still divide by a number that this host can't know before they report.
		known.counted = max(known.counted, h.Hosts)
	}
	r.resumed, r.used = true, true
	r.divided = division{hosts: h.Hosts, since: now.Add(-h.Held)}
	r.updateAccepted(now)
}

// Divide returns the number by which this host divides bounds from now on, and whether it may use its share.
func (r *Roster) Divide(now time.Time) (hosts int, mayUse bool) {
	hosts, mayUse = r.Hosts(), r.MayUse(now)
	if hosts > r.divided.hosts && r.used {
		r.divided.since = now
	}
	r.divided.hosts = hosts
	r.used = r.used || mayUse
	return hosts, mayUse
}

// Division returns by how many hosts this one divides bounds, and for how long it has used no share of a
// division by fewer. The others are told this. It returns 0 hosts as long as this host has to find out.
func (r *Roster) Division(now time.Time) (hosts int, held time.Duration) {
	if r.joinedAt.IsZero() || r.NeedsList() {
		return 0, 0
	}
	return r.divided.hosts, min(now.Sub(r.divided.since), r.terms.Lease)
}

// Divided records the division that another host has stated. One that has started again and has yet to find
// out states none: it uses no share, and what it stated before its restart holds for that time.
func (r *Roster) Divided(now time.Time, name string, hosts int, held time.Duration) {
	h := r.hosts[name]
	if h == nil || hosts == 0 {
		return
	}
	h.divided, h.statedAt = division{hosts: hosts, since: now.Add(-held)}, now
	r.updateAccepted(now)
}

// heldSince returns since when every other host has left room for the share that this one has taken up. It
// returns false as long as that isn't known. A host that is neither listed nor heard has left room, since
// it counted the predecessor: one that has started since then would be listed, or may not use its share.
func (r *Roster) heldSince() (time.Time, bool) {
	if !r.resumed {
		return time.Time{}, false
	}
	since := r.joinedAt.Add(-r.terms.Window)
	for _, h := range r.hosts {
		if h.listedAt.Before(r.joinedAt) && h.reportedAt.Before(r.joinedAt) {
			continue
		}
		if h.statedAt.Before(r.joinedAt) || h.divided.hosts < len(r.names) {
			return time.Time{}, false
		}
		if h.divided.since.After(since) {
			since = h.divided.since
		}
	}
	return since, true
}
