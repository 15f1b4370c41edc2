// Package lavclient is the client library for callers of a fleet of entry hosts, which
// route requests to the endpoints that process them.
//
// The client fetches the addresses of the entry hosts, caches them while they are
// valid, and connects to the hosts directly, nearest host first. Each call has a
// single deadline that covers all its attempts.
//
// A call is sent again only if it wasn't sent because no connection could be
// established, if the response has the outcome NotRun and a Retry-After header, or if
// no response arrived and the call is repeatable. A call that isn't idempotent becomes
// repeatable by an idempotency key: the fleet runs it at most once, however often it
// is sent.
//
// The answer to a prompt is a Stream, which is complete only when its final marker has
// arrived. If a stream breaks earlier, the client resumes it at another entry host
// with the resume token that the stream carried.
package lavclient
