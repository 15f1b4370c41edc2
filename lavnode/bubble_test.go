package lavnode_test

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// bubble runs body in a bubble of testing/synctest. Under the race detector its
// goroutines run on one processor: the detector crashes if two of them run
// expired timers at one time. See docs/incidents/race-detector.md.
func bubble(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if underRaceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, body)
}
