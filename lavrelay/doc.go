// Package lavrelay sends a caller's request to an endpoint and forwards the response.
//
// An attempt sends the request to one endpoint, once. What follows a failed attempt
// depends on whether the request may have run:
//
//   - If the request was not sent, or the endpoint states that it did not run the
//     request, it is sent to another endpoint.
//   - If the response was lost, the request may have run. A repeatable request is sent to
//     another endpoint within its route's attempts and the service's retry budget. The
//     outcome of a request that is not repeatable is unknown.
//
// Responses are forwarded byte for byte. A stream is forwarded in whole events, so that
// after a failure it can resume on another endpoint after the last event that the caller
// has received. If a response can't be completed, the connection to the caller is aborted:
// a regular end would make the response look complete.
package lavrelay
