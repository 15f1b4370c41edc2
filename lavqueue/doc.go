// Package lavqueue orders the requests that wait for an endpoint and refuses
// those that cannot meet their deadline.
//
// Requests wait in lanes by prompt length. The boundaries between the lanes
// follow the load, so that the shortest lane always carries a small fraction of
// the prompt tokens and can be served first without delaying the other lanes
// much. Three rules limit how far requests may overtake others:
//
//   - Customers share capacity by weight, in tokens (start-time fair queueing).
//     Each customer has a virtual time, which every dispatched request advances
//     by its tokens divided by the customer's share. Within a lane the customer
//     with the lowest virtual time goes first. A customer that is ahead of the
//     lowest virtual time by more than a bounded burst must wait, in every
//     lane, while a customer within the burst has a request that fits.
//   - Each longer lane has a reserved share of the dispatched tokens while
//     requests wait in it, so that audits make progress under a flood of short
//     requests.
//   - A request close to its latest start time goes first, unless its customer
//     has exceeded its share.
//
// Admission refuses a request at once, with a retry time, if the sum of queue
// wait, prefill time and decode time exceeds the time to its deadline. A queued
// request expires as soon as it can no longer finish before its deadline.
//
// The queue is a plain state machine: it does no I/O, starts no goroutine and
// reads no clock, so that it can be tested and benchmarked in isolation. It is
// not safe for concurrent use; the owner must hold a lock.
package lavqueue
