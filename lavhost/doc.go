// Package lavhost assembles an entry host on the users' platform.
//
// What a host knows is a copy of the store's entries (lavmirror), fed by one
// watch of its own and by its peers, and turned into the desired state, the
// endpoints in service and the members. A belief says whether the host may act
// on that copy: not before it has heard the store, or a peer that has, since it
// started or woke from a freeze.
//
// Around it stand the listeners for callers, for questions to the directory,
// for readiness and for peers, all under one supervisor.
package lavhost
