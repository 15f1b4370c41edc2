// Package lavexperiment runs a scenario against a simulated system in virtual
// time and measures the results.
//
// A System consists of entry hosts, fake engines, fake servers of a plain
// service and a fake platform, connected by an in-memory network. Callers send
// the requests of a plan and record the answers. The Measurements are computed
// from these records and from the counters of the fakes, never from figures that
// the entry hosts report. They allow a comparison of the default queueing and
// routing policy with several baselines on the same plan.
//
// The time of a synctest bubble advances when all its goroutines are blocked, so
// an hour of traffic takes only as long as its computation.
package lavexperiment
