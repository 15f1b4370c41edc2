// Package lavorder plans which models the engines should hold and orders the
// engines to load and drop them.
//
// One host at a time is the planner: the holder of a lease. It compares the models
// that the engines report with the release and writes the next targets of some
// engines to the store, as one versioned value called the plan. The owner of each
// engine reads the plan and sends the order to the engine.
//
// Because a lease can expire while its holder is paused, two hosts may plan at the
// same time, and two hosts may send orders at the same time. Three measures make
// that harmless:
//
//   - A plan is written by compare-and-swap and contains the fencing token of
//     its planner. A planner that finds a higher token stops.
//   - An order is declarative, and its fencing token increases with each plan
//     of each planner. An engine that checks fencing tokens rejects outdated
//     orders.
//   - Before it sends an order to an engine that ignores fencing tokens, an
//     owner waits until the lease of any earlier planner has expired and the
//     last call of any earlier owner has ended, and then reads the plan again.
//     It also reverts the effects of outdated orders.
package lavorder
