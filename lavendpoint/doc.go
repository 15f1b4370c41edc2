// Package lavendpoint maintains the list of endpoints with the lifecycle phase and
// the last load report of each.
//
// It merges three sources, each of which can be wrong or late. The release lists
// the endpoints that should be in service. The platform's host list shows, with a
// delay, which hosts are present or leaving. Load reports show the load of each
// endpoint. The result is a Snapshot, an immutable value that the request path
// reads without a lock.
//
// The most cautious source decides: an endpoint receives new work only if no source
// says that it is out or leaving.
package lavendpoint
