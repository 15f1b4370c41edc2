// Package lavpressure decides what a host holds in memory for callers and endpoints that
// read slowly.
//
// An Account counts the bytes of all requests: bodies that are being received or sent, and
// answers that their callers have not accepted yet. Each request has a Hold, its part of the
// account. The account has a bound, a fixed share of the host's memory. The rest of the
// memory is for the runtime and its garbage, connections and their socket buffers, and the
// control traffic.
//
// Three levels lie below the bound, and at each of them the account gives up more:
//
//   - Below all of them nothing is held back. An answer is read from its endpoint at the
//     endpoint's pace, so that the endpoint's slot is free early.
//   - From the first level on, no more of an answer is read while its caller is behind, so that
//     the endpoint may cut it off after some seconds. Answers that can't be resumed follow at
//     the second level.
//   - From the second level on, large request bodies are refused before they are read.
//   - From the third level on, callers who don't read are cut off, the one that holds the
//     most first, and each new answer is read in small parts.
//
// A caller is behind while bytes wait for it, and it is stalled once it has accepted none for
// StallTime. Callers who keep up are never held back or cut. A body that would exceed the
// bound is refused whatever its size.
package lavpressure
