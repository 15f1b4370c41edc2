// Package lavconn sends requests to endpoints over HTTP/1.1 and receives their
// responses.
//
// A connection carries one exchange at a time. The package manages its own
// connections instead of using http.Transport because it must guarantee four
// properties: a request is written once and never retried automatically; an
// error states whether any byte of the request may have been sent; a response
// belongs to its request; and a connection is not reused after an error or
// unexpected data.
//
// Responses are parsed by net/http.
package lavconn
