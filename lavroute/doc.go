// Package lavroute selects the endpoint that serves a request.
//
// A Policy chooses from a RoutingTable and from LocalLoad. The routing table is
// an immutable index over an endpoint snapshot. LocalLoad describes this host's
// own unfinished work at each endpoint. Load reports are stale by the time they
// are used, so a policy adds the work that this host has dispatched since each
// report was taken.
//
// Balanced is the policy used in production. It picks the endpoint with the
// earliest expected first token, which depends on the network delay, the
// prefill work ahead of the request, and the part of the prompt that is not in
// the endpoint's prefix cache. Cache hits and load are thus compared in one
// unit, time, and an endpoint with a popular prefix stops being preferred as
// soon as another endpoint is faster without the cache hit.
//
// The simple policies (Random, RoundRobin, LeastOutstanding, PrefixHash) serve
// as baselines in experiments.
package lavroute
