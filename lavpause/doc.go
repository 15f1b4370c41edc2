// Package lavpause sleeps until a duration has passed or a context ends, whichever
// comes first.
//
// If the duration is zero or negative, the functions return immediately without
// creating a timer. This avoids rescheduling the goroutine, and a bug of the race
// detector, which crashes if two goroutines of the same testing/synctest bubble
// run expired timers at the same time. See docs/incidents/race-detector.md.
package lavpause
