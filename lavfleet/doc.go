// Package lavfleet knows the endpoints in service and what runs on them.
//
// The endpoints come from their own entries in the store. What runs on each one
// comes from two sides: this host counts the work that it has sent itself, and
// the other hosts tell of theirs. Neither is asked of the endpoints.
//
// Three bounds hold over all hosts without any message: each host has a fixed
// part of the requests that a cold endpoint bears in a second, and of the
// retries that a service bears in a window. A part is the whole divided by the
// most hosts that may exist.
package lavfleet
