// Package lavstream delivers the complete answer of a prompt to its caller.
//
// A Relay runs a prompt at an endpoint and, after a failure, continues it at the
// same or another endpoint until the answer is complete. Every frame carries the
// request's ID, the engine's incarnation and the frame's token offset. Frames of
// another request or incarnation are dropped and counted. A gap in the offsets
// breaks the stream, and the stream is complete only after its final frame. A
// stream that breaks or falls silent is resumed at the same engine from the
// offset reached. If that engine no longer has the stream, another endpoint
// continues the answer from the text that was already delivered.
//
// A caller whose connection breaks can resume the stream at any entry host. The
// Token that the caller received with the first answer contains everything that
// the host needs. The token is signed and valid only for its customer. The host
// that relayed the stream before hands it over instead of canceling it.
//
// The memory of a stream that ends early is freed by a call to its engine. A Cleanup
// makes these calls, since they go on after the caller's deadline has passed.
package lavstream
