// Package lavcrash finds out which requests crash the endpoints that run them.
//
// When an endpoint crashes, all requests that it was running are suspect, and most of
// them are innocent. What crashes endpoints may be one request that is sent again and
// again, or something that different requests have in common, such as a segment of
// their prompts. A request is therefore described by its traits: the whole of it, and
// each segment.
//
// An Attribution collects crashes with the traits of the requests that were lost in
// each. A trait is a candidate for a crash until a request with it completes, since a
// trait that crashes endpoints lets no request complete. The segment that explains
// more crashes than any other trait is blocked, and its crashes count against no other
// trait from then on. Crashes at nearly the same time count once: they have a common
// cause that is hardly a request.
//
// The state machine has no I/O. Hosts exchange crashes and completions, so that each
// of them decides on the evidence of all.
package lavcrash
