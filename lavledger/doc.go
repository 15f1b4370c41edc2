// Package lavledger runs each non-repeatable call at most once.
//
// A call is identified by its customer and its idempotency key. The ledger
// keeps one Record per call in the store. The records are split into shards.
// Each shard is a log whose head is changed only by compare-and-swap. A host
// that wants to send a call first commits a claim with a random nonce. If the
// claimed record then holds this nonce, the host may send the call once. Every
// other host waits for the outcome.
//
// The protocol relies on three properties:
//
//   - An Op is idempotent: applying it twice has the same effect as applying it
//     once. A commit whose reply was lost is therefore retried, and the log
//     shows whether the first attempt took effect.
//   - A host that gives up a claim voids it. The void carries the nonce of the
//     claim, so it also cancels a claim that reaches the store after the void.
//   - Ops are committed in groups, by the shard's owner if it can be reached.
//     Ownership only reduces the number of writes. Two owners, or none, do no
//     harm, because the compare-and-swap decides.
//
// A record ends as Done with the answer, as NotRun, or as Unknown. While the
// record is kept, only a call that ended as NotRun may be claimed again.
package lavledger
