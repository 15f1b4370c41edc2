// Package lavpause waits for a time or for the end of a context, whichever comes
// first.
//
// A pause of no length is over at once and makes no timer. That saves a turn of
// the scheduler, and it keeps clear of a fault of the race detector: two goroutines
// of one testing/synctest bubble that run expired timers at one time crash it. See
// docs/incidents/race-detector.md.
package lavpause
