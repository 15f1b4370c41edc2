// Package lavmatrix injects a fault into a small simulated system at each step
// of each protocol and checks the guarantees that the system gives.
//
// A system consists of three entry hosts, five engines, two order servers and
// the key-value service. It runs in virtual time over an in-memory network. A
// Cell names a fault and the step of package lavstep that triggers it: a probe
// in the context of every process injects the fault when the step is first
// reached after the workload has started. A cell may also name a background
// fault that is injected at the start of the workload, so that the steps of
// recovery are reached as well.
//
// The verdict of a cell says whether these guarantees hold:
//
//   - A call that is not repeatable runs at most once.
//   - A caller never receives the outcome NotRun for a call that ran.
//   - An answer is complete and belongs to the call.
//   - A call ends within its deadline.
//   - A cold engine, which sustains only a small load until it has warmed up, is
//     not overloaded.
//   - Engines hold no streams or reservations after the workload.
//   - The release of a host never reverts, and each host reaches the head.
//   - A failure domain that a release takes out receives no new work.
//   - Every host serves requests after the faults have ended.
package lavmatrix
