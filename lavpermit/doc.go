// Package lavpermit divides a rate that all hosts together must keep, such as the requests per
// second that an endpoint takes.
//
// One host, the holder, hands out permits for it; who that is follows from the members (see
// lavmember.Owner). A host that has requests for the endpoint asks the holder ahead of time, keeps
// what it gets in a Stock, and sends a request only with a permit. A permit that isn't used in
// PermitTTL is lost, so that the holder needs no account of the hosts, and a host that dies,
// freezes or is cut off takes nothing with it for long.
//
// In any span of time w, a holder hands out at most rate * (w + BurstTime) + BurstPermits permits, and
// hosts use at most what was handed out in w + PermitTTL. That holds across a change of the holder
// too, since the next one begins without any permits saved up.
//
// A Queue orders the requests of a host that wait for permits. The package does no input or
// output and takes the current time as an argument.
package lavpermit
