// Package lavmember maintains the membership view: the set of entry hosts that are
// alive.
//
// Each start of an entry host process is an incarnation. It has its own key in the
// store, bound to a store lease that the process renews. While the store is
// reachable, it is the only authority on membership. While the store is
// unreachable, the last known view stays in effect: members that the mesh can't
// reach are left out of it, and members that the mesh or a peer reports are added
// to it.
package lavmember
