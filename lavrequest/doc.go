// Package lavrequest defines the properties of a request that all parts of the
// request path share: its customer, its kind of work, the length of its prompt,
// its deadline and its outcome.
//
// Each request is admitted once, by one entry host. It then ends before its
// deadline with exactly one Outcome:
//
//   - Done: the whole answer was delivered.
//   - NotRun: no byte of the request reached an endpoint.
//   - Unknown: the request may have run. A request that must not be repeated is
//     never sent again.
package lavrequest
