// Package lavload is an open-loop load generator. It sends requests to a running
// system and classifies the answers as a caller sees them.
//
// A Caller sends one request and returns a Result. The Verdict of the result
// says whether the request was answered completely and within its deadline, was
// refused, or failed. Run sends the arrivals of a scenario at their planned
// times and does not wait for earlier answers, so that a slow system does not
// reduce the load. Latencies are measured from the planned arrival time.
package lavload
