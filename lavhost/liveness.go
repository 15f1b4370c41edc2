package lavhost

import "time"

// Failure detection.
//
// In a fleet of up to smallFleetHosts every host broadcasts a status heartbeat
// several times a second, and a host whose heartbeats stop is dead. In a larger
// fleet only the hosts that report their contact with the store do so. The
// others broadcast less often the more hosts there are, so that each host
// receives a constant number of heartbeats per second. Failures are then
// detected by the neighbours on the mesh: a host that can't open a link to its
// neighbour broadcasts a suspicion, and the suspected host answers with a
// heartbeat. It is dead unless that arrives within suspicionTimeout.
const (
	// statusInterval is the time between two status heartbeats in a fleet of up
	// to statusBaseHosts. It grows in proportion with the fleet, up to
	// maxStatusInterval, which lets several heartbeats arrive within
	// peerTimeout.
	statusInterval    = 100 * time.Millisecond
	statusBaseHosts   = 8
	maxStatusInterval = 600 * time.Millisecond
	// watcherStatusInterval is the longest time between two status heartbeats of a
	// host that watches the store, which the others must miss within contactTTL.
	watcherStatusInterval = 300 * time.Millisecond
	// smallFleetHosts is the largest fleet in which all hosts send status
	// heartbeats.
	smallFleetHosts = statusBaseHosts * int(maxStatusInterval/statusInterval)
	// livenessPerHost is the time between two heartbeats of a host of a larger
	// fleet that doesn't send its status, for each host of the fleet.
	livenessPerHost = 33 * time.Millisecond
	// peerTimeout is how long after its last heartbeat a peer of a small fleet
	// counts as alive, and how long a status heartbeat is relied on.
	peerTimeout = 2 * time.Second
	// joinTime is how long after its start or its return a host sends heartbeats
	// at joinInterval or more often, since links are only being opened.
	joinTime     = 5 * time.Second
	joinInterval = 1200 * time.Millisecond
	// isolationTimeout is how long a host must not have heard of any peer to count
	// itself as cut off.
	isolationTimeout = time.Second
	// missedHeartbeats is how many heartbeats a peer of a larger fleet must miss
	// to count as dead without a suspicion.
	missedHeartbeats = 3
	// newMemberGrace is how long a member without any heartbeat counts as alive
	// because the store lists it.
	newMemberGrace = 1500 * time.Millisecond
	// suspicionTimeout is how long a suspected peer has to send a heartbeat. It
	// allows for two broadcasts.
	suspicionTimeout = 600 * time.Millisecond
	// suspicionRepeat is the least time between two suspicions of a peer.
	suspicionRepeat = 3 * time.Second
)

// isSmallFleet reports whether all hosts of a fleet send status heartbeats.
func isSmallFleet(hosts int) bool { return hosts <= smallFleetHosts }

// statusIntervalFor returns the time between two status heartbeats of a host.
func statusIntervalFor(hosts int) time.Duration {
	interval := statusInterval * time.Duration(max(hosts, statusBaseHosts)) / statusBaseHosts
	return min(interval, maxStatusInterval)
}

// livenessIntervalFor returns the time between two heartbeats of a host that
// doesn't report its contact with the store.
func livenessIntervalFor(hosts int) time.Duration {
	if isSmallFleet(hosts) {
		return statusIntervalFor(hosts)
	}
	return time.Duration(hosts) * livenessPerHost
}

// liveness is what a host knows about whether a peer is alive.
type liveness struct {
	// firstSeen is when the peer became known.
	firstSeen     time.Time
	lastHeartbeat time.Time
	// suspectedAt is when a host last reported that it can't reach the peer.
	suspectedAt time.Time
}

// heard reports whether the peer itself has ever been heard of.
func (l liveness) heard() bool { return !l.lastHeartbeat.IsZero() }

// unanswered reports whether the peer has not been heard of since it was suspected.
func (l liveness) unanswered() bool {
	return !l.suspectedAt.IsZero() && !l.lastHeartbeat.After(l.suspectedAt)
}

// alive reports whether the peer counts as alive in a fleet of the given size.
func (l liveness) alive(now time.Time, hosts int) bool {
	if l.unanswered() && now.Sub(l.suspectedAt) > suspicionTimeout {
		return false
	}
	if !l.heard() {
		return now.Sub(l.firstSeen) < max(newMemberGrace, livenessIntervalFor(hosts)*3/2)
	}
	timeout := peerTimeout
	if !isSmallFleet(hosts) {
		timeout = max(timeout, missedHeartbeats*livenessIntervalFor(hosts))
	}
	return now.Sub(l.lastHeartbeat) < timeout
}

// suspect records that the peer can't be reached. It reports false if that says
// nothing new, because the peer was heard of or suspected recently.
func (l *liveness) suspect(now time.Time) bool {
	if now.Sub(l.lastHeartbeat) < suspicionTimeout || now.Sub(l.suspectedAt) < suspicionRepeat {
		return false
	}
	l.suspectedAt = now
	return true
}
