// Package lavfleet tracks the endpoints in service and their load.
//
// The endpoints come from their own entries in the store. The load of each endpoint
// has two sources: this host counts the requests that it has sent itself, and peers
// report theirs. Endpoints are not polled for their load.
//
// Two limits hold over all hosts without coordination: on the requests per second to
// a cold endpoint, and on the retries to a service within a window. Each host has a
// fixed share, which is the limit divided by the largest number of hosts that may
// exist.
package lavfleet
