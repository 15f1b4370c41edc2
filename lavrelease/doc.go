// Package lavrelease stores the configuration of the fleet and distributes its
// releases to the hosts.
//
// A Note is the unit of change. It lists the items (models, hosts, endpoints and
// so on) that an operator adds, changes and withdraws, and the version that it
// is based on. Applying a note to a State gives the State of the next version. A
// State is immutable.
//
// The store has one head key. Its value holds the current version, the ID of the
// note that created it, the IDs of earlier notes, and references to the chunks
// that together contain the encoded state. Publish replaces the head by a single
// compare-and-swap, so that of two operators who publish concurrently one
// receives a *ConflictError and neither silently overwrites the other. After a
// lost reply, the ID of the note shows whether the write took effect: if the
// head's history contains the ID, the note has been published.
//
// Each host runs a Follower, which watches the head and also learns of new
// releases from its peers by gossip. It moves from one version to the next by
// applying the note, which is small, and verifies the digest of the result. A
// host that lags far behind reads the whole state. A Follower adopts only a
// state that is newer than its own and descends from it, so that no host ever
// reverts to an older release. If the store loses releases, for example because
// it was restored from an older backup, the hosts write the state that they hold
// back to the store.
package lavrelease
