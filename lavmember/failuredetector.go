package lavmember

import "time"

// Failure detection timeouts.
const (
	// suspectAfter is how long connection attempts to a member must keep failing
	// before the member is suspected.
	suspectAfter = 8 * time.Second
	// failureExpiry is how long a failed connection attempt counts. A longer gap
	// between failures starts a new failure period.
	failureExpiry = 30 * time.Second
)

// failureDetector records which members the mesh can't reach. Its suspicions affect
// the view only while the store is unreachable.
type failureDetector struct {
	// failingSince is the start of a member's current failure period, and
	// lastFailure the time of its most recent failure. Both are keyed by
	// incarnation.
	failingSince map[string]time.Time
	lastFailure  map[string]time.Time
}

func newFailureDetector() *failureDetector {
	return &failureDetector{failingSince: make(map[string]time.Time), lastFailure: make(map[string]time.Time)}
}

func (d *failureDetector) recordFailure(incarnation string, now time.Time) {
	if now.Sub(d.lastFailure[incarnation]) > failureExpiry {
		d.failingSince[incarnation] = now
	}
	d.lastFailure[incarnation] = now
}

func (d *failureDetector) recordSuccess(incarnation string) {
	delete(d.failingSince, incarnation)
	delete(d.lastFailure, incarnation)
}

// suspects reports whether a member is suspected: its failure period has lasted for
// at least suspectAfter, and its last failure has not expired.
func (d *failureDetector) suspects(incarnation string, now time.Time) bool {
	start, ok := d.failingSince[incarnation]
	return ok && now.Sub(start) >= suspectAfter && now.Sub(d.lastFailure[incarnation]) <= failureExpiry
}

// excludeSuspects returns the members of v that are not suspected. It never
// excludes this host (self). A member that the mesh reaches again is no longer
// suspected.
func (d *failureDetector) excludeSuspects(v *View, self string, now time.Time) *View {
	var kept []Member
	for _, m := range v.Members {
		if m.Incarnation == self || !d.suspects(m.Incarnation, now) {
			kept = append(kept, m)
		}
	}
	return newView(kept)
}
