package lavhost

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
)

// TestWhatMayBeginDuringADrain guards against requests that begin though they can't end before the host has left.
func TestWhatMayBeginDuringADrain(t *testing.T) {
	const grace, second = 8 * time.Second, time.Second
	call := lavconfig.Route{Kind: lavconfig.KindUnsafe, Timeout: 3 * second}
	untimed := lavconfig.Route{Kind: lavconfig.KindUnsafe}
	stream := lavconfig.Route{Kind: lavconfig.KindStreaming, Timeout: 15 * second}
	tests := []struct {
		name          string
		route         lavconfig.Route
		grace         time.Duration
		callerTimeout time.Duration
		into          time.Duration
		mayBegin      bool
	}{
		{"CallThatEndsInTime", call, grace, 0, 4 * second, true},
		{"CallThatMayNot", call, grace, 0, 5 * second, false},
		{"CallOfAnImpatientCaller", call, grace, second, 5 * second, true},
		{"UntimedRoute", untimed, grace, 0, 0, false},
		{"UntimedRouteLate", untimed, grace, 0, 7 * second, false},
		{"UntimedRouteOfAnImpatientCaller", untimed, grace, second, 5 * second, true},
		{"Stream", stream, grace, 0, 2 * second, true},
		{"StreamLate", stream, grace, 0, 3 * second, false},
		{"StreamThatEndsInTime", stream, grace, 2 * second, 4 * second, true},
		{"StreamInAShortGrace", stream, 3 * second, 0, second / 2, true},
		{"StreamLateInAShortGrace", stream, 3 * second, 0, 2 * second, false},
		{"NoGrace", call, 0, 0, 0, false},
		{"GraceWithinTheMargin", call, exitMargin / 2, exitMargin / 4, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDrain(test.grace)
				mayBegin := func() bool {
					return d.MayBegin(&test.route, deadline(time.Now(), test.callerTimeout, test.route.Timeout))
				}
				lavassert.True(t, "may begin before the drain", mayBegin())
				d.start()
				time.Sleep(test.into)
				lavassert.Equal(t, "may begin", mayBegin(), test.mayBegin)
				d.closed.Store(true)
				lavassert.True(t, "may not begin once the drain is closed", !mayBegin())
			})
		})
	}
}

// TestGraceOfADrainInProgress guards against requests that count on a longer grace than the one that held at SIGTERM.
func TestGraceOfADrainInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(8 * time.Second)
		d.setGrace(10 * time.Second)
		lavassert.Equal(t, "longer before the drain", d.remaining(), 10*time.Second)
		d.start()
		d.setGrace(20 * time.Second)
		lavassert.Equal(t, "as it was at the start", d.remaining(), 10*time.Second-exitMargin)
		d.setGrace(5 * time.Second)
		lavassert.Equal(t, "shorter in the drain", d.remaining(), 5*time.Second-exitMargin)
	})
}

// TestEndOfADrain guards against a drain that ends before its requests have ended, or after the grace.
func TestEndOfADrain(t *testing.T) {
	const grace = 8 * time.Second
	tests := []struct {
		name  string
		runs  time.Duration
		ended time.Duration
	}{
		{"Idle", 0, lingerTime},
		{"RequestsEnd", 6 * time.Second, 6 * time.Second},
		{"RequestsOutlastTheGrace", time.Minute, grace - exitMargin},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := &ingress{drain: newDrain(grace)}
				i.running.Add(1)
				time.AfterFunc(test.runs, func() { i.running.Add(-1) })
				started := time.Now()
				i.drain.start()
				i.drain.wait(t.Context(), i)
				took := time.Since(started)
				lavassert.True(t, fmt.Sprintf("ended after %v", took), took >= test.ended && took <= test.ended+2*drainPollInterval)
				call := &lavconfig.Route{Kind: lavconfig.KindSafe, Timeout: time.Millisecond}
				lavassert.True(t, "nothing begins", !i.drain.MayBegin(call, time.Now()))
				lavassert.NoError(t, i.drain.Left().Err())
				i.drain.end()
				lavassert.True(t, "all requests end", i.drain.Left().Err() != nil)
			})
		})
	}
}
