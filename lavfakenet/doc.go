// Package lavfakenet implements an in-memory network for tests that run in
// virtual time.
//
// Each host has a name and a failure domain. A connection delivers bytes in
// order, after the delay of the link between its two hosts. As with TCP, a lost
// packet appears as the delay of its retransmission.
//
// Tests can inject three faults. A host that is down refuses new connections
// and resets open ones. Two hosts that are partitioned cannot connect to each
// other, and data sent between them arrives only after the partition ends. A
// blackhole makes the connections that are open between two hosts lose all
// further data permanently, while new connections work.
//
// All waiting uses channels and timers, so that a synctest bubble treats it as
// durably blocked.
package lavfakenet
