// Package lavconn exchanges requests and answers with endpoints over HTTP/1.1.
//
// A connection carries one exchange at a time. The package owns its connections
// rather than leaving them to http.Transport, because four things must be
// certain here: a request is written once and never sent again by itself; an
// error says whether a byte of it can have left; an answer belongs to its
// request; and a connection on which anything was odd is not used again.
//
// Requests are parsed and answers are read by net/http.
package lavconn
