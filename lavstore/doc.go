// Package lavstore is the client interface of the platform's key-value service.
//
// The service offers compare-and-swap, leases and watches. Three properties of
// the service shape the interface:
//
//   - Every key has a revision. CompareAndSwap specifies the revision that it
//     replaces. This comparison alone, and never a lease, decides between
//     concurrent writers.
//   - A reply may be lost after the write took effect. Such a call returns
//     ErrOutcomeUnknown. The caller reads the key back and checks whether it
//     holds the written value.
//   - A watch is a long-polling call. It returns at the first change after a
//     given revision, or when the wait time is over.
//
// HTTP implements the interface with the key-value part of the Consul HTTP API,
// version 1.
package lavstore
