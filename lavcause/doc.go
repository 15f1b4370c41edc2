// Package lavcause names why a request missed what its route promises.
//
// Classify is a pure function: it takes the Record of a request, as its host has kept it, and
// returns what the request missed and where most of the time went. A host knows only its own
// requests and the loads that its peers have reported. A delay that none of them explains has the
// cause LoadUnknown.
//
// Tables adds up the hosts' log lines for an operator.
package lavcause
