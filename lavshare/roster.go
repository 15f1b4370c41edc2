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
	// hosts are the other hosts, and names all of them, sorted.
	hosts map[string]*host
	names []string
	// joinedAt is when the store first listed this host, or listed it again after its lease had
	// ended. It is zero before.
	joinedAt time.Time
	// acceptedAt is when every host that may use a share was first known to count this one, zero
	// before.
	acceptedAt time.Time
	// resumed is true if this host has taken up the share of its predecessor and held it since.
	resumed bool
	// divided is by what this host has divided bounds, and used is true once it may have used its
	// share.
	divided division
	used    bool
	// renewedAt is when the last successful renewal of this host's membership was sent, and
	// listedAt when the list of members was last requested. Both are zero before.
	renewedAt, listedAt time.Time
}

// host is what is known of another host.
type host struct {
	// absentSince is when the store was first found not to list the host, without anybody having
	// heard of it since. It is zero while the host is listed or heard of.
	absentSince time.Time
	// counted is how many hosts it last reported to count, at reportedAt.
	counted    int
	reportedAt time.Time
	// listedAt is when the store last listed it.
	listedAt time.Time
	// divided is by what it last stated to divide bounds, at statedAt.
	divided  division
	statedAt time.Time
}

// division is the number by which a host divides bounds. Since then it has used no share of a division by
// fewer.
type division struct {
	hosts int
	since time.Time
}

// New returns the roster of a host that knows no other one.
func New(self string, terms Terms) *Roster {
	return &Roster{terms: terms, self: self, hosts: make(map[string]*host), names: []string{self}}
}

// Renewed records that the store has renewed this host's membership, as asked at a time.
func (r *Roster) Renewed(now, askedAt time.Time) {
	if r.joinedAt.IsZero() || !r.leased(now) {
		r.joinedAt, r.acceptedAt, r.resumed = now, time.Time{}, false
		if !r.used {
			r.divided.since = now
		}
	}
	r.renewedAt = askedAt
	r.updateAccepted(now)
}

// Listed records which members the store lists, as asked at a time.
func (r *Roster) Listed(now, askedAt time.Time, names []string) {
	interrupted := askedAt.Sub(r.listedAt) > r.terms.ListInterval
	if askedAt.After(r.listedAt) {
		r.listedAt = askedAt
	}
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		r.Heard(name)
		if h := r.hosts[name]; h != nil {
			h.listedAt = now
		}
	}
	for name, h := range r.hosts {
		switch {
		case listed[name]:
		case h.absentSince.IsZero() || interrupted:
			h.absentSince = now
		case now.Sub(h.absentSince) > r.terms.Lease+r.terms.Window:
			r.remove(name)
		}
	}
	r.updateAccepted(now)
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

// Reported records how many hosts another host counts.
func (r *Roster) Reported(now time.Time, name string, counted int) {
	r.Heard(name)
	if h := r.hosts[name]; h != nil {
		h.counted, h.reportedAt = counted, now
		r.updateAccepted(now)
	}
}

// Counted returns the number of hosts that this host counts by itself, which it reports to the
// others.
func (r *Roster) Counted() int { return len(r.names) }

// Hosts returns the number by which bounds are divided: as many as this host counts, or as any
// of them has reported.
func (r *Roster) Hosts() int {
	n := len(r.names)
	for _, h := range r.hosts {
		n = max(n, h.counted)
	}
	return n
}

// Index returns the position of a host among those that this host counts, itself included. It
// returns false for a host that is not counted.
func (r *Roster) Index(name string) (int, bool) { return slices.BinarySearch(r.names, name) }

// NeedsList reports whether this host has not read the list of members since it joined.
func (r *Roster) NeedsList() bool { return !r.joinedAt.IsZero() && r.listedAt.Before(r.joinedAt) }

// MayUse reports whether this host may use its share.
func (r *Roster) MayUse(now time.Time) bool {
	return r.leased(now) && !r.acceptedAt.IsZero() && now.Sub(r.acceptedAt) >= r.terms.Window
}

// leased reports whether this host's lease is valid.
func (r *Roster) leased(now time.Time) bool {
	return now.Before(r.renewedAt.Add(r.terms.Lease)) && now.Before(r.listedAt.Add(r.terms.Lease))
}

// updateAccepted sets acceptedAt once every host that may use a share counts this one. After
// Terms.Lease that is so without a report, since a host that has not read of this one since
// it joined may no longer use its share.
func (r *Roster) updateAccepted(now time.Time) {
	if r.joinedAt.IsZero() || r.NeedsList() {
		return
	}
	if since, ok := r.heldSince(); ok && (r.acceptedAt.IsZero() || since.Before(r.acceptedAt)) {
		r.acceptedAt = since
	}
	if !r.acceptedAt.IsZero() {
		return
	}
	if now.Sub(r.joinedAt) > r.terms.Lease || r.allCountThis() {
		r.acceptedAt = now
	}
}

// allCountThis reports whether all hosts have reported, since this one joined, to count as many
// hosts as it does.
func (r *Roster) allCountThis() bool {
	for _, h := range r.hosts {
		if h.reportedAt.Before(r.joinedAt) || h.counted < len(r.names) {
			return false
		}
	}
	return true
}

func (r *Roster) remove(name string) {
	delete(r.hosts, name)
	r.names = slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return n == name })
}
