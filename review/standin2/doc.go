//go:build review

// Command standin2 plays the cases of the second review that are scripts. It starts entry hosts as
// processes, and plays the platform's store, the endpoints and the callers itself. Each case writes what
// it has seen to a record and judges one rule.
package main
