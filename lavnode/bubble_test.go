package lavnode_test

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// runSynctest runs body in virtual time with synctest.Test. Under the race detector
// it sets GOMAXPROCS to 1, because the detector crashes if two goroutines run expired
// timers at the same time. See docs/incidents/race-detector.md.
func runSynctest(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if underRaceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, body)
}
