// Package lavdemo runs a complete fleet in one process on loopback, injects
// faults, and reports the results that callers got.
//
// The fleet consists of fake platform services, 16 model engines, 3 order
// servers and 6 entry hosts in 3 failure domains. Callers send prompts of all
// length classes, orders, duplicates of orders, and lookups. Meanwhile a script
// publishes releases that withdraw and restore a failure domain, restarts an
// entry host, kills an engine and takes the key-value service down.
//
// All figures of the Report are measured at the callers and at the fake
// services, independently of what the entry hosts report about themselves.
// Report.Broken lists the guarantees that the run violated.
package lavdemo
