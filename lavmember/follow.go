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

// A watch answers with every member, so if all hosts watched, each change would
// cost the store as many long answers as there are hosts. Only a few hosts
// watch; they tell the others by the mesh what changed. The others list the
// members now and then, and when a delta doesn't fit what they have.

// Bounds of following.
const (
	watchers = 8
	// hostsPerSpacing spaces the watches of a large fleet.
	hostsPerSpacing = 200
	listEvery       = time.Minute
	refreshPause    = 2 * time.Second
)

// watchName is what the watchers are drawn by.
const watchName = "member-watch"

// WatcherRank returns this host's place among the watchers, and whether it is one.
func (r *Registry) WatcherRank() (int, bool) {
	rank := RendezvousRank(r.View(), watchName, r.Self().Incarnation)
	return rank, rank >= 0 && rank < watchers
}

// follow keeps the base view in step with the store. On errors the last view
// holds.
func (r *Registry) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if _, watching := r.WatcherRank(); watching {
			r.watch(ctx)
			continue
		}
		r.waitToList(ctx)
		entries, _, err := r.store.List(ctx, keyPrefix)
		if err == nil {
			r.adopt(entries)
		}
	}
}

// watch follows the members by watch for as long as this host is a watcher.
func (r *Registry) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	spacing := func() time.Duration {
		return time.Duration(len(r.View().Members)) * time.Second / hostsPerSpacing
	}
	_ = lavstore.Follow(ctx, r.store, keyPrefix, spacing, func(_ context.Context, entries []lavstore.Entry) error {
		r.adopt(entries)
		if _, watching := r.WatcherRank(); !watching {
			cancel()
		}
		return nil
	})
}

// waitToList waits for the time of the next listing, or a little after one was
// asked for, at a time that differs from host to host.
func (r *Registry) waitToList(ctx context.Context) {
	timer := time.NewTimer(listEvery/2 + rand.N(listEvery))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-r.refresh:
	}
	spread := refreshPause + time.Duration(len(r.View().Members))*time.Second/hostsPerSpacing
	_ = lavpause.For(ctx, rand.N(spread))
}

// adopt takes over the members that the store lists.
func (r *Registry) adopt(entries []lavstore.Entry) {
	members := make([]Member, 0, len(entries)+1)
	for _, e := range entries {
		var m Member
		if json.Unmarshal(e.Value, &m) == nil && m.Incarnation != "" {
			members = append(members, m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = time.Now()
	before := r.base
	r.setBase(sorted(members))
	if d := diff(before, r.base); d.From != d.To && len(r.base.Members) > watchers {
		r.pending = append(r.pending, d)
	}
}

// TakePendingDeltas takes the deltas that this host has to tell the others. A delta that
// another host has told meanwhile is not among them.
func (r *Registry) TakePendingDeltas() []Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	return pending
}

// ApplyDelta takes over a delta that a watcher tells.
func (r *Registry) ApplyDelta(d Delta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.pending[:0]
	for _, p := range r.pending {
		if p.To != d.To {
			kept = append(kept, p)
		}
	}
	r.pending = kept
	if r.base.Digest() == d.To {
		return
	}
	next, exact := apply(r.base, d)
	r.setBase(next)
	if !exact {
		// An earlier delta was missed.
		signal(r.refresh)
	}
}

// Met takes note of a member that the mesh has a link to. While the store is
// down, one that restarted takes the place of its former incarnation, whose
// address it has.
func (r *Registry) Met(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubts.reached(m.Incarnation)
	if _, known := r.base.Member(m.Incarnation); known {
		r.setBase(r.base)
		return
	}
	if time.Since(r.contact) <= storeSilence {
		signal(r.refresh)
		return
	}
	members := []Member{m}
	for _, have := range r.base.Members {
		if have.Mesh != m.Mesh || have.Incarnation == r.self.Incarnation {
			members = append(members, have)
		}
	}
	r.setBase(sorted(members))
}

// Unreachable takes note of a member that the mesh fails to reach.
func (r *Registry) Unreachable(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubts.failed(incarnation, time.Now())
}

// StoreSilent reports whether the store has been silent for so long that this host
// asks its peers for their view.
func (r *Registry) StoreSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.contact) > storeSilence
}

// MergeMembers adds the members of a peer's view to this host's own while the store is
// silent. One whose address another member has by now is left out.
func (r *Registry) MergeMembers(members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.contact) <= storeSilence {
		return
	}
	taken := make(map[netip.AddrPort]bool)
	joined := append([]Member{}, r.base.Members...)
	for _, m := range joined {
		taken[m.Mesh] = true
	}
	for _, m := range members {
		if m.Incarnation != "" && !taken[m.Mesh] {
			taken[m.Mesh] = true
			joined = append(joined, m)
		}
	}
	r.setBase(sorted(joined))
}
