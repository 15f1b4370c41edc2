// Package lavplan decides which endpoints serve a request, and whether a request
// is refused because of overload.
//
// Its decisions are pure functions of the candidates: the endpoints of a service,
// each with the load that all hosts together have placed on it. A model engine
// works in batch iterations. One iteration is a fixed number of decode steps, at
// the end of which each running stream emits one event; prefill runs between
// iterations. A long prompt can be prefilled in parts on several engines at once.
// Each part lengthens an iteration and thereby delays every stream of that engine,
// so costs are derived from the prefill time that a request adds.
package lavplan
