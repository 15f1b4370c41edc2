// Package lavburn reports the error-budget burn rate of the whole fleet.
//
// An objective of the release requires that a given share of the requests of some
// kind be good: answered in full, with the first token within the time limit. All
// other requests consume the objective's error budget. At a burn rate of 1 over a
// window, the budget is consumed exactly as fast as it accrues. An alert fires only
// if both a long and a short window exceed the threshold: the long window shows that
// the loss is significant, the short one that it is still going on.
//
// Each host counts its own requests per minute and broadcasts the counts as Cells.
// Within one incarnation of a host, the counts of a minute only increase, so a
// receiver keeps the maximum of each count and repeated or reordered messages don't
// change the result. A few minutes later, every host folds the cells of a minute
// into one Sum for the fleet, and again keeps the maximum when peers send theirs. A
// host that restarts loads the sums from a peer. Two losses are accepted: counts that
// a host hasn't broadcast before it crashes, and all counts if all hosts restart at
// the same time.
//
// Memory is bounded because the windows have a fixed number of buckets, and a cell
// lists at most 16 customers. If a host has served more customers in a minute, the
// cell lists those with the most bad requests. The total of a customer therefore
// omits minutes and hosts in which none of the customer's requests were bad.
package lavburn
