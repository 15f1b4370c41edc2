package lavhost

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestSharedSegmentCrashesFewEndpoints guards against requests that differ, but share a prompt
// segment that crashes endpoint after endpoint.
func TestSharedSegmentCrashesFewEndpoints(t *testing.T) {
	t.Parallel()
	second, first := crashingPrompt{segment: "bad2"}, crashingPrompt{segment: "bad1", first: true}
	tests := []struct {
		name     string
		crashing []crashingPrompt
		// disturb runs beside the load, from its beginning.
		disturb func(f *emulatedFleet)
	}{
		{"SecondSegment", []crashingPrompt{second}, nil},
		{"FirstSegment", []crashingPrompt{first}, nil},
		{"TwoSegments", []crashingPrompt{first, second}, nil},
		{"HostRestarts", []crashingPrompt{second}, func(f *emulatedFleet) {
			time.Sleep(6 * time.Second)
			f.restart(0, 3)
		}},
		{"AllHostsRestart", []crashingPrompt{second}, func(f *emulatedFleet) {
			time.Sleep(6 * time.Second)
			f.restart(0, 1, 2, 3, 4, 5)
		}},
		{"HostCutOffFromPeers", []crashingPrompt{second}, func(f *emulatedFleet) { f.isolate(2, true) }},
		{"StoreAway", []crashingPrompt{second}, func(f *emulatedFleet) { f.store.SetMode(standin.ModeBusy) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startPromptLoad(t, 1)
				l.play(soundPhase)
				began := time.Now()
				var segments []string
				for _, c := range test.crashing {
					segments = append(segments, c.segment)
				}
				l.endpoints.SetSegments(segments...)
				if test.disturb != nil {
					l.callers.Go(func() { test.disturb(l.fleet) })
				}
				l.play(crashingPhase, test.crashing...)
				l.assertStopped(t, len(segments), began)
				l.end(t)
			})
		})
	}
}

// TestBlockedSegmentStaysBlocked guards against hosts that learn of a block late or forget it.
func TestBlockedSegmentStaysBlocked(t *testing.T) {
	t.Parallel()
	var copied *standin.StoreCopy
	tests := []struct {
		name string
		// before and after disturb the fleet before the segment is blocked, and once it is.
		before, after func(f *emulatedFleet)
	}{
		{"HostsRestart", nil, func(f *emulatedFleet) { f.restart(0, 3) }},
		{"AllHostsRestart", nil, func(f *emulatedFleet) { f.restart(0, 1, 2, 3, 4, 5) }},
		{"StoreFromOlderCopy", nil, func(f *emulatedFleet) {
			f.store.Restore(copied)
			time.Sleep(2 * contactTime)
			f.restart(0, 1, 2, 3, 4, 5)
		}},
		{"HostRestartsWhileStoreIsAway", nil, func(f *emulatedFleet) {
			f.store.SetMode(standin.ModeBusy)
			f.restart(0)
		}},
		{"HostCutOffFromPeers", func(f *emulatedFleet) { f.isolate(2, true) }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startPromptLoad(t, 3)
				copied = l.fleet.store.Copy()
				if test.before != nil {
					test.before(l.fleet)
				}
				l.endpoints.SetSegments("bad")
				l.play(soundPhase, crashingPrompt{segment: "bad"})
				lavassert.AtLeast(t, "crashes before the block", len(l.endpoints.Crashes()), 1)
				blocked := time.Now()
				if test.after != nil {
					test.after(l.fleet)
				}
				l.endpoints.Announce()
				l.play(soundPhase, crashingPrompt{segment: "bad"})
				lavassert.Equal(t, "arrivals after the block", l.countArrivals(blocked), 0)
				l.end(t)
			})
		})
	}
}

// TestSoundRequestsSurviveOtherCrashes guards against sound requests that are refused because
// they ran at endpoints that crashed for another reason.
func TestSoundRequestsSurviveOtherCrashes(t *testing.T) {
	const crashes = 6
	synctest.Test(t, func(t *testing.T) {
		l := startPromptLoad(t, 2)
		l.play(soundPhase)
		began := time.Now()
		l.callers.Go(func() {
			for i := range crashes {
				l.endpoints.CrashDomain(emulatedDomain(i))
				time.Sleep(crashingPhase / (2 * crashes))
			}
		})
		l.play(crashingPhase)
		before := l.begunShare(began.Add(-soundPhase), began)
		after := l.begunShare(began.Add(crashingPhase*3/4), began.Add(crashingPhase))
		t.Logf("share begun at the first attempt: %.3f before, %.3f after", before, after)
		lavassert.AtLeast(t, "share of sound requests begun", after, before*0.98)
		l.end(t)
	})
}
