// Package lavplan decides where a request runs, and when it is refused.
//
// Its decisions are pure functions of a board, which says of each endpoint what
// all hosts together have running there. An engine works in passes: in each one
// every running request writes one event, and the prompts that wait are read in
// between. What a prompt adds to a pass delays all writers of that engine, so
// the time that its parts take is the currency of every decision here.
package lavplan
