package lavshare

import (
	"slices"
	"time"
)

// Terms are the durations that all hosts must agree on.
type Terms struct {
	// Lease is how long a host may use its share without contact with the store.
	Lease time.Duration
	// Window is the longest period over which a divided bound counts.
	Window time.Duration
	// ListInterval is the longest time between two reads of the list of members that counts as
	// uninterrupted.
	ListInterval time.Duration
}

// Roster is the hosts that may use a share, as one host knows them. It is not safe for
// concurrent use.
type Roster struct {
	terms Terms
	self  string
	hosts map[string]*host
	// names are the hosts and this one, sorted.
	names []string
	// joinedAt is when the store first listed this host, or listed it again after its lease had
	// ended. renewedAt is when the last successful renewal was sent. Both are zero before.
	joinedAt, renewedAt time.Time
	// listedAt is when the list of members was last read, zero before.
	listedAt time.Time
}

// host is what is known of another host.
type host struct {
	// absentSince is when the store was first found not to list the host, without anybody having
	// heard of it since. It is zero while the host is listed or heard of.
	absentSince time.Time
	// reported is the number of hosts that it last reported to count, at reportedAt.
	reported   int
	reportedAt time.Time
}

// New returns the roster of a host that knows no other one.
func New(self string, terms Terms) *Roster {
	return &Roster{terms: terms, self: self, hosts: make(map[string]*host), names: []string{self}}
}

// Renewed records that the store has renewed this host's membership in answer to a call that
// was sent at a time.
func (r *Roster) Renewed(sentAt time.Time) {
	if r.joinedAt.IsZero() || !r.leased(sentAt) {
		r.joinedAt = sentAt
	}
	r.renewedAt = sentAt
}

// Listed records that the store lists the named members.
func (r *Roster) Listed(now time.Time, names []string) {
	interrupted := now.Sub(r.listedAt) > r.terms.ListInterval
	r.listedAt = now
	for _, name := range names {
		r.Heard(name)
	}
	for name, h := range r.hosts {
		switch {
		case slices.Contains(names, name):
		case h.absentSince.IsZero() || interrupted:
			h.absentSince = now
		case now.Sub(h.absentSince) > r.terms.Lease+r.terms.Window:
			r.remove(name)
		}
	}
}

// Heard records that another host was heard of.
func (r *Roster) Heard(name string) {
	if name == r.self {
		return
	}
	if h := r.hosts[name]; h != nil {
		h.absentSince = time.Time{}
		return
	}
	r.hosts[name] = &host{}
	at, _ := slices.BinarySearch(r.names, name)
	r.names = slices.Insert(slices.Clone(r.names), at, name)
}

// Reported records that another host has reported how many hosts it counts.
func (r *Roster) Reported(now time.Time, name string, hosts int) {
	r.Heard(name)
	if h := r.hosts[name]; h != nil {
		h.reported, h.reportedAt = hosts, now
	}
}

func (r *Roster) remove(name string) {
	delete(r.hosts, name)
	r.names = slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return n == name })
}

// Counted returns the number of hosts that this host counts by itself, which it reports to the
// others.
func (r *Roster) Counted() int { return len(r.names) }

// Hosts returns the number by which bounds are divided: as many as this host counts, or as any
// of them has reported.
func (r *Roster) Hosts() int {
	n := len(r.names)
	for _, h := range r.hosts {
		n = max(n, h.reported)
	}
	return n
}

// Names returns the hosts that this host counts, itself included, in order. The caller must not
// change the result.
func (r *Roster) Names() []string { return r.names }

// MayUse reports whether this host may use its share.
func (r *Roster) MayUse(now time.Time) bool {
	return r.leased(now) && r.joined(now)
}

// leased reports whether this host's lease is valid.
func (r *Roster) leased(now time.Time) bool {
	return now.Before(r.renewedAt.Add(r.terms.Lease)) && now.Before(r.listedAt.Add(r.terms.Lease))
}

// joined reports whether every host that may use a share counts this one.
func (r *Roster) joined(now time.Time) bool {
	if r.joinedAt.IsZero() {
		return false
	}
	if now.Sub(r.joinedAt) > r.terms.Lease {
		return true
	}
	for _, h := range r.hosts {
		if h.reportedAt.Before(r.joinedAt) || h.reported < len(r.names) {
			return false
		}
	}
	return true
}
