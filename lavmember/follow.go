package lavmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstore"
)

// A store watch returns the full member list on every change. If every host
// watched, each change would cost the store one full list per host. Therefore only
// a few hosts watch the store, and they broadcast deltas over the mesh. The other
// hosts list the members periodically, and also when a delta doesn't match their
// own view.

// Limits on how often a host reads the member list from the store.
const (
	maxWatchers = 8
	// hostsPerWatchSecond sets the minimum interval between two watch reads: one
	// second for this many hosts of the fleet.
	hostsPerWatchSecond = 200
	listInterval        = time.Minute
	refreshDelay        = 2 * time.Second
)

// watcherRankKey is the name under which hosts are ranked to select the watchers.
const watcherRankKey = "member-watch"

// WatcherRank returns this host's rank among the watcher candidates, and whether it
// is one of the watchers.
func (r *Registry) WatcherRank() (int, bool) {
	rank := RendezvousRank(r.View(), watcherRankKey, r.Self().Incarnation)
	return rank, rank >= 0 && rank < maxWatchers
}

// syncView keeps the base view in sync with the store until ctx ends. If the store
// returns an error, the last view stays in effect.
func (r *Registry) syncView(ctx context.Context) {
	for ctx.Err() == nil {
		if _, watching := r.WatcherRank(); watching {
			r.watchStore(ctx)
			continue
		}
		r.waitForListing(ctx)
		entries, _, err := r.store.List(ctx, keyPrefix)
		if err == nil {
			r.applyListing(entries)
		}
	}
}

// watchStore follows the members with a store watch until this host is no longer a
// watcher.
func (r *Registry) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := func() time.Duration {
		return time.Duration(len(r.View().Members)) * time.Second / hostsPerWatchSecond
	}
	_ = lavstore.Follow(ctx, r.store, keyPrefix, interval, func(_ context.Context, entries []lavstore.Entry) error {
		r.applyListing(entries)
		if _, watching := r.WatcherRank(); !watching {
			cancel()
		}
		return nil
	})
}

// waitForListing waits until the next periodic listing, or, if a refresh is
// requested, for a short random delay. Both times are randomized so that the hosts
// don't all read the store at once.
func (r *Registry) waitForListing(ctx context.Context) {
	timer := time.NewTimer(listInterval/2 + rand.N(listInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-r.refreshRequested:
	}
	maxDelay := refreshDelay + time.Duration(len(r.View().Members))*time.Second/hostsPerWatchSecond
	_ = lavpause.For(ctx, rand.N(maxDelay))
}

// applyListing replaces the base view by the members that the store lists. If the
// fleet has hosts that don't watch, it queues the difference for broadcast.
func (r *Registry) applyListing(entries []lavstore.Entry) {
	members := make([]Member, 0, len(entries)+1)
	for _, e := range entries {
		var m Member
		if json.Unmarshal(e.Value, &m) == nil && m.Incarnation != "" {
			members = append(members, m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = time.Now()
	before := r.base
	r.setBase(newView(members))
	if d := diffViews(before, r.base); d.From != d.To && len(r.base.Members) > maxWatchers {
		r.pendingDeltas = append(r.pendingDeltas, d)
	}
}

// TakePendingDeltas returns and clears the deltas that this host has to broadcast.
// A delta that another watcher has broadcast in the meantime is not included.
func (r *Registry) TakePendingDeltas() []Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	deltas := r.pendingDeltas
	r.pendingDeltas = nil
	return deltas
}

// ApplyDelta applies a delta that a watcher has broadcast.
func (r *Registry) ApplyDelta(d Delta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := r.pendingDeltas[:0]
	for _, p := range r.pendingDeltas {
		if p.To != d.To {
			remaining = append(remaining, p)
		}
	}
	r.pendingDeltas = remaining
	if r.base.Digest() == d.To {
		return
	}
	next, exact := applyDelta(r.base, d)
	r.setBase(next)
	if !exact {
		// The digest doesn't match because an earlier delta was missed.
		signal(r.refreshRequested)
	}
}

// PeerConnected records that the mesh has a link to a member. If the member is not in the
// view, it requests a listing from the store. While the store is unreachable, it
// adds the member instead and removes the earlier incarnation with the same mesh
// address.
func (r *Registry) PeerConnected(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.recordSuccess(m.Incarnation)
	if _, known := r.base.Member(m.Incarnation); known {
		r.setBase(r.base)
		return
	}
	if time.Since(r.lastContact) <= storeSilenceLimit {
		signal(r.refreshRequested)
		return
	}
	members := []Member{m}
	for _, existing := range r.base.Members {
		if existing.Mesh != m.Mesh || existing.Incarnation == r.self.Incarnation {
			members = append(members, existing)
		}
	}
	r.setBase(newView(members))
}

// PeerUnreachable records that the mesh failed to reach a member.
func (r *Registry) PeerUnreachable(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.recordFailure(incarnation, time.Now())
}

// StoreSilent reports whether the store has not answered for so long that this host
// should ask its peers for their view.
func (r *Registry) StoreSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastContact) > storeSilenceLimit
}

// MergeMembers adds the members of a peer's view to this host's view while the
// store is silent. It skips a member whose mesh address is already used by another
// member.
func (r *Registry) MergeMembers(members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastContact) <= storeSilenceLimit {
		return
	}
	usedAddresses := make(map[netip.AddrPort]bool)
	merged := append([]Member{}, r.base.Members...)
	for _, m := range merged {
		usedAddresses[m.Mesh] = true
	}
	for _, m := range members {
		if m.Incarnation != "" && !usedAddresses[m.Mesh] {
			usedAddresses[m.Mesh] = true
			merged = append(merged, m)
		}
	}
	r.setBase(newView(merged))
}
