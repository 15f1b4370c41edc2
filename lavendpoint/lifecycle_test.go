package lavendpoint_test

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
)

// warmReport and coldReport return reports of the same engine when warm and when
// cold.
func warmReport(incarnation lavengine.Incarnation) lavengine.LoadReport {
	return lavengine.LoadReport{Incarnation: incarnation, ColdLimit: 2_000, MemoryTokens: 10_000}
}

func coldReport(incarnation lavengine.Incarnation) lavengine.LoadReport {
	r := warmReport(incarnation)
	r.Cold = true
	return r
}

func TestLifecycle(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		at    time.Duration
		e     lavendpoint.Evidence
		phase lavendpoint.Phase
		limit int
	}
	polled := func(r lavengine.LoadReport) lavendpoint.Evidence { return lavendpoint.Evidence{Report: r} }
	busy := warmReport("a")
	busy.Waiting = 3
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"an engine that is warm when this host starts is ready", []step{{0, polled(warmReport("a")), lavendpoint.PhaseReady, 10_000}}},
		{"the limit of a cold engine doubles while it warms up", []step{
			{0, polled(coldReport("a")), lavendpoint.PhaseCold, 2_000},
			{time.Second, polled(warmReport("a")), lavendpoint.PhaseWarming, 2_000},
			{1500 * time.Millisecond, polled(warmReport("a")), lavendpoint.PhaseWarming, 2_000},
			{2 * time.Second, polled(warmReport("a")), lavendpoint.PhaseWarming, 4_000},
			{3 * time.Second, polled(warmReport("a")), lavendpoint.PhaseWarming, 8_000},
			{4 * time.Second, polled(warmReport("a")), lavendpoint.PhaseReady, 10_000},
		}},
		{"waiting work stops the ramp", []step{
			{0, polled(coldReport("a")), lavendpoint.PhaseCold, 2_000},
			{time.Second, polled(busy), lavendpoint.PhaseWarming, 2_000},
			{9 * time.Second, polled(busy), lavendpoint.PhaseWarming, 2_000},
		}},
		{"a restarted engine starts over as cold", []step{
			{0, polled(warmReport("a")), lavendpoint.PhaseReady, 10_000},
			{time.Second, polled(coldReport("b")), lavendpoint.PhaseCold, 2_000},
		}},
		{"a restarted engine that never reported cold is warmed up too", []step{
			{0, polled(warmReport("a")), lavendpoint.PhaseReady, 10_000},
			{time.Second, polled(warmReport("b")), lavendpoint.PhaseWarming, 2_000},
		}},
		{"the release withdraws an endpoint and returns it to service", []step{
			{0, polled(warmReport("a")), lavendpoint.PhaseReady, 10_000},
			{time.Second, lavendpoint.Evidence{Withdrawn: true, Report: warmReport("a")}, lavendpoint.PhaseLeaving, 0},
			{time.Minute, polled(warmReport("a")), lavendpoint.PhaseWarming, 2_000},
		}},
		{"out takes precedence over leaving, and leaving over cold", []step{
			{0, lavendpoint.Evidence{Withdrawn: true, Report: coldReport("a")}, lavendpoint.PhaseLeaving, 0},
			{0, lavendpoint.Evidence{HostLeaving: true, Report: coldReport("a")}, lavendpoint.PhaseLeaving, 0},
			{0, lavendpoint.Evidence{Withdrawn: true, Dead: true, Report: coldReport("a")}, lavendpoint.PhaseOut, 0},
			{0, lavendpoint.Evidence{HostGone: true, Report: warmReport("a")}, lavendpoint.PhaseOut, 0},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var lifecycle lavendpoint.Lifecycle
			for _, s := range c.steps {
				now := start.Add(s.at)
				s.e.Heard = now
				lifecycle = lifecycle.Next(s.e, now)
				lavassert.Equal(t, "phase at "+s.at.String(), lifecycle.Phase, s.phase)
				lavassert.Equal(t, "limit at "+s.at.String(), lifecycle.Limit, s.limit)
			}
		})
	}
	t.Run("a silent endpoint is out", func(t *testing.T) {
		e := lavendpoint.Evidence{Report: warmReport("a"), Heard: start}
		lifecycle := lavendpoint.Lifecycle{}.Next(e, start)
		lavassert.Equal(t, "after 5 s", lifecycle.Next(e, start.Add(5*time.Second)).Phase, lavendpoint.PhaseReady)
		lavassert.Equal(t, "after 6 s", lifecycle.Next(e, start.Add(6*time.Second)).Phase, lavendpoint.PhaseOut)
		e.Silence = 10 * time.Second
		lavassert.Equal(t, "after 6 s with a limit of 10 s", lifecycle.Next(e, start.Add(6*time.Second)).Phase, lavendpoint.PhaseReady)
	})
	t.Run("an endpoint without a report is out", func(t *testing.T) {
		lavassert.Equal(t, "phase", lavendpoint.Lifecycle{}.Next(lavendpoint.Evidence{}, start).Phase, lavendpoint.PhaseOut)
	})
}
