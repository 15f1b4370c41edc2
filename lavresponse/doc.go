// Package lavresponse holds what every reader of HTTP responses has to ask before it counts bytes as
// a response, whichever client it uses.
//
// A server in trouble sends bytes that a lenient reader takes for a response: a part of a body that
// a reset cut off looks like a body that ends with its connection, and a head of the status 000 like
// one of a success. The package keeps such bytes from being used, and leaves to its callers what a
// response has to say.
//
// The type Conn tells an end of the response from a reset that the kernel reported to the writer of
// the request, and CheckHead rejects heads that net/http accepts although they are none. Readers of
// their own connections use both. An http.Client is equipped by NewClient, or by Checked where its
// connections must be shared.
//
// A Budget limits what a process holds of all responses together, since a limit for each of them is
// none for many that don't end.
package lavresponse
