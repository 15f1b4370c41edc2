// Package lavhost assembles an entry host from its parts and runs it on the
// platform that package platform connects to.
//
// A host holds a replica of the store's entries (lavmirror). The host's own
// watch on the store and messages from its peers keep the replica up to date.
// From it the host derives the desired state, the endpoints in service and the
// members of the fleet. The host acts on the replica only while it is
// confirmed: the store, or a peer whose replica is confirmed, must have
// answered a query since the process started or last resumed from a suspension.
//
// A host has listeners for requests from callers, for directory lookups, for
// readiness checks and for links from peers. All parts run under one
// supervisor.
package lavhost
