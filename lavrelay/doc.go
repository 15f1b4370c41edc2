// Package lavrelay carries one request from its caller to an endpoint and the
// answer back.
//
// An attempt sends the request to one endpoint, once. What follows a failed
// attempt depends on what may be true of it:
//
//   - not sent, or stated not to have run: another endpoint may have it;
//   - lost: it may have run. A repeatable request goes to another endpoint
//     within its route's attempts and the service's retry budget; one that is
//     not repeatable ends as unknown.
//
// Answers are passed on byte for byte. A stream's events are passed on whole, so
// that a stream that breaks off can go on at another endpoint after the last
// event that the caller has. An answer that can't be completed is broken off,
// never ended.
package lavrelay
