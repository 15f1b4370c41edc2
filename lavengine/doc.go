// Package lavengine defines the interface of a model engine and implements it
// over HTTP.
//
// An engine uses continuous batching, keeps a prefix cache in limited memory,
// schedules by priority, and numbers the tokens of each stream, so that a stream
// can be resumed from an offset on another connection. Every response and load
// report carries the engine's incarnation, which changes when the engine
// restarts. A response from an incarnation other than the requested one must not
// be used.
//
// The type HTTP uses the OpenAI completions interface with server-sent events,
// and additional resources for load, cache events, reservations, checkpoints and
// orders.
package lavengine
