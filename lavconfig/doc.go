// Package lavconfig defines the desired state of a host: its routes, services,
// customers and limits, all at one version.
//
// A State is an immutable value. An Index is built from it once and performs
// the two lookups that each request needs: the route for its host name and
// path, and the customer for its credential.
package lavconfig
