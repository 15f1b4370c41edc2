// Package lavjson strictly decodes JSON with comments into Go values.
//
// Settings, release notes and scenarios are written by hand, so mistakes must be
// reported rather than ignored. The following are faults: a name that the Go type
// doesn't have, including one that differs only in case, a duplicate name, a null, and
// a value of the wrong type. Each Fault states the position in the file and what is
// expected there. Callers that check values further can report faults at the same
// positions by Document.At.
package lavjson
