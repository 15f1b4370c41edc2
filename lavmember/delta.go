package lavmember

// Delta is the difference between two views. Its size is proportional to the number
// of changed members, not to the size of the fleet.
type Delta struct {
	// From and To are the digests of the view before and after the change.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Joined lists the members that were added or changed. Left lists the
	// incarnations that were removed.
	Joined []Member `cbor:"3,keyasint,omitempty"`
	Left   []string `cbor:"4,keyasint,omitempty"`
}

// diffViews returns the delta that turns before into after.
func diffViews(before, after *View) Delta {
	d := Delta{From: before.Digest(), To: after.Digest()}
	for _, m := range after.Members {
		if old, ok := before.Member(m.Incarnation); !ok || old != m {
			d.Joined = append(d.Joined, m)
		}
	}
	for _, m := range before.Members {
		if _, ok := after.Member(m.Incarnation); !ok {
			d.Left = append(d.Left, m.Incarnation)
		}
	}
	return d
}

// applyDelta returns the view that results from applying d to v. The second result
// reports whether its digest matches d.To, that is, whether it equals the sender's
// view.
func applyDelta(v *View, d Delta) (*View, bool) {
	members := make(map[string]Member, len(v.Members)+len(d.Joined))
	for _, m := range v.Members {
		members[m.Incarnation] = m
	}
	for _, m := range d.Joined {
		members[m.Incarnation] = m
	}
	for _, incarnation := range d.Left {
		delete(members, incarnation)
	}
	list := make([]Member, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	result := newView(list)
	return result, result.Digest() == d.To
}
