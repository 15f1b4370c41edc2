// Package lavcredit limits the work that all entry hosts together send to one
// endpoint.
//
// An endpoint can run a limited number of tokens at a time. A warm endpoint is
// limited by its memory. A cold endpoint has a much lower limit, and crashes if
// that is exceeded. Rendezvous hashing gives each endpoint an owner among the
// hosts. A host that dispatches requests is a holder: the owner grants it an
// allowance, which is the number of tokens of the holder's work that may run at
// the endpoint at a time. An allowance expires; after that the holder may begin
// no new work under it. Holders renew their allowances and report what they use
// and want. The owner recomputes a holder's allowance at each renewal.
//
// The owner keeps one invariant: the allowances that holders may believe in,
// and the work that was begun under earlier ones, together never exceed the
// endpoint's limit.
//
//   - A reply may be lost. Until the holder says which allowance it has, the
//     owner counts the larger of the old one and the new one.
//   - A holder that stops asking may still have work running. The owner counts
//     its allowance until the endpoint restarts, or until the host's membership
//     has lapsed and a later load report shows what still runs.
//   - A new owner doesn't know what the previous one granted, so it grants
//     nothing until those grants have expired.
//   - Two hosts may each believe that they own an endpoint. For a warm endpoint
//     that is harmless, since it refuses requests that exceed its memory. For a
//     cold one the owner must also hold a claim: a store key bound to a lease,
//     whose revision is the fencing token of the owner's grants.
//   - While the store is down no cold endpoint gets a new owner, and an owner
//     whose lease expires stops granting. Warm endpoints keep working; if the
//     owner can't be reached, each host uses an equal share.
//   - An allowance names the endpoint's incarnation and is void for any other.
//     A host that sees a connection break begins no work at the endpoint until
//     it has received a newer load report from it.
//
// Allocator is the owner's state machine and Holder the holder's; neither does
// I/O. Exchange connects them over the mesh.
package lavcredit
