// Package lavplan decides which endpoints serve a request, and whether a request
// is refused because of overload.
//
// Its decisions are pure functions of the candidates: the endpoints of a service,
// each with the load that all hosts together have placed on it. A model engine
// works in batch iterations. One iteration is a fixed number of decode steps, at
// the end of which each running stream emits one event; prefill runs between
// iterations. A long prompt can be prefilled in parts on several engines at once.
// Each part lengthens an iteration and thereby delays every stream of that engine,
// so costs are derived from the prefill time that a request adds. How long an
// iteration may be follows from the pause that the route of each stream declares.
//
// A host of a small fleet places its prompts by itself (Place, Admit). In a larger
// one, whose hosts learn each other's load late, a Scheduler places the prompts of
// all hosts. It counts each one from the decision on, and says who goes next.
package lavplan
