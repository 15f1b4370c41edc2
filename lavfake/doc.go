// Package lavfake provides in-memory fakes of the external systems: the
// key-value store, model engines, plain services and the host list.
//
// The fakes reject requests and crash under the same conditions as the real
// systems. They count the requests that reach them, so that tests can verify
// guarantees from the external system's side instead of relying on what the
// system under test reports.
package lavfake
