// Package lavstep defines the steps of the system's internal protocols and a
// failpoint for each step.
//
// A step is a point in a protocol at which a process may crash, a reply may be
// lost or a lease may expire. The Step enum has two uses. Errors record the
// step and the peer at which they occurred. Fault-injection tests install a
// FaultInjector in the context to cause a fault at a chosen step. Without a
// FaultInjector, as in production, Failpoint does nothing.
package lavstep
