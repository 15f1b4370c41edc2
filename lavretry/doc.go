// Package lavretry decides whether and when a failed request is retried.
//
//   - A Budget limits retries to a share of the successes, so that retries
//     can't multiply an overload.
//
//   - A Backoff spreads retries over time and never waits past a deadline.
//
//   - Attempts records which endpoints were tried, when, and whether a byte was
//     written. A request counts as not run only if no attempt wrote a byte.
//
//   - A Guard limits how many endpoints die of one request. A request that was
//     in flight when its endpoint died is a suspect. A suspect runs at one
//     endpoint at a time until it finishes successfully, which clears it. Its
//     second death puts it in quarantine.
//
//   - Prompts that differ, but share a prefix that kills endpoints, are recognized by
//     a lavcrash.Attribution.
//
// A Guard is a state machine without I/O. Suspects shares it among the hosts:
// the two replicas of a fingerprint decide whether a run may begin. Deaths are
// sent to all hosts over the mesh, and kept in the store for hosts that start
// later.
package lavretry
