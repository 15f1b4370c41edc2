// Package lavretry decides whether and when a request is tried again.
//
//   - A Budget allows retries as a share of successes, so that retries can't
//     multiply an overload.
//   - A Backoff spreads tries over time and never passes a deadline.
//   - Attempts record who was tried, when, and whether a byte was written. A
//     request was not run only if no attempt wrote a byte.
//   - A Guard bounds the endpoints that die of one request. A request in
//     flight on an endpoint that dies is a suspect. A suspect runs at one
//     endpoint at a time until it ends well, which clears it; its second death
//     puts it in quarantine.
//
// Guard is a pure state machine. Suspects shares it among hosts: the two keepers
// of a fingerprint decide, deaths go to all hosts over the mesh and are kept in
// the store for hosts that start later.
package lavretry
