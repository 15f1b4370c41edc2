// Package lavplace computes which models are placed on which engines.
//
// A Problem describes the engines, the models that each has loaded, and the number
// of replicas that each model needs. A Placement lists the models of each engine.
// It must fit in memory, even during a transition, while new models are loaded next
// to the old ones. It should also give each model its replicas, spread them over
// failure domains, balance the demand over the engines, and load few models,
// because the weight store limits the download rate.
//
// Greedy builds a placement in one pass. Search improves a placement by
// large-neighbourhood search: it repeatedly clears a few engines, fills them again,
// and keeps the result if it doesn't cost more. NextStage returns the steps towards
// a placement that can be taken now; it drops a model from an engine only if the
// remaining replicas are sufficient.
//
// All functions are pure. Search is deterministic for a given seed.
package lavplace
