// Package lavgang runs prompts that need more memory than a single engine has.
//
// A gang is a set of engines in one failure domain that hold one prompt
// together: each engine holds some of its segments. The memory of a gang is
// reserved at all of its engines or at none. Engines are reserved in the order
// of the endpoints' names, so that two gangs never wait for each other. If one
// reservation fails, the gang releases all of its reservations and tries again
// later.
//
// The segments of a prompt are prefilled one after another. The KV cache state
// at the end of each segment is exported, so that the death of an engine costs
// the prefill of one segment at most: another engine takes its place, imports
// the state and continues. The engine that holds the last segment decodes the
// answer.
//
// No reservation leaks. A reservation's ID starts with the ID of its request,
// which names the entry host that made it. The host that owns an endpoint
// releases the reservations there that no live host claims: see Sweeper.
package lavgang
