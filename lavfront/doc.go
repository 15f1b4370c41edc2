// Package lavfront implements the HTTP interface that callers use.
//
// GET /v1/entries lists the addresses of the entry hosts. POST /v1/completions
// and POST /v1/chat/completions accept prompts in the OpenAI format.
// /services/{Name}/ forwards calls to plain services, which are services that run no
// model. Every response states the outcome of the request:
// Done, NotRun or Unknown. If the caller asks for a stream, the answer to a prompt
// is sent as server-sent events and the outcome is sent as a trailer.
package lavfront
