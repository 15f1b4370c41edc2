// Package lavconfig holds the desired state that a host serves by: routes,
// services, customers and limits, all of one version.
//
// A State is a plain value that never changes once made. An Index is built from
// it once and answers the two questions that each request asks: which route its
// host name and path select, and which customer its credential names.
package lavconfig
