// Package lavshare counts the hosts among which a bound for all hosts together is divided.
//
// Each host divides a bound by the number of hosts in its own Roster. The shares must not
// add up to more than the bound while hosts are cut off from each other, end, start again
// or join. Silence therefore doesn't release a share: a host that can't be heard may still
// use its own. The rules are those of a lease:
//
//   - A host may use its share for Terms.Lease after the store has last renewed its
//     membership and after it has last read the list of members.
//   - A host is counted until the store has no longer listed it, and nobody has heard of it,
//     for Terms.Lease and Terms.Window: then it no longer uses its share, and what it has
//     used is out of the window. While the store can't be read, every host stays counted.
//   - A host that joins doesn't use its share until every host that it counts has reported
//     to count as many, or until Terms.Lease after it has joined: hosts that have not read
//     of it since may no longer use theirs.
//
// A host that starts again under its name has the same share as before. One that ends as planned leaves
// a Handover to its successor, which goes on as if it had been out of contact: it counts the same hosts
// and may use the share once it has read the list of members. Without a handover, what the predecessor
// used isn't known, and the successor waits like a host that joins.
//
// The package does no input or output and takes the current time as an argument. That time
// must include any time for which the machine was suspended.
package lavshare
