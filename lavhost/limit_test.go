package lavhost

import (
	"cmp"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// Bounds of the requests that an endpoint gets once it has stated a limit: in any limitWindow at
// most limitFactor times what the limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitKnownTime is how long after its first statement an endpoint may get more.
	limitKnownTime = time.Second
	limitedPhase   = 20 * time.Second
)

// mostInWindow returns the largest number of requests that arrived at the endpoint with the index
// in any limitWindow between two times.
func (l *promptLoad) mostInWindow(endpoint int, from, until time.Time) int {
	const step = 50 * time.Millisecond
	most := 0
	for start := from; !start.Add(limitWindow).After(until); start = start.Add(step) {
		most = max(most, l.endpoints.Served(promptLoadEndpoint(endpoint), start, start.Add(limitWindow)))
	}
	return most
}

// assertLimitKept checks the requests of all hosts to an endpoint that has stated a limit in
// requests per second at a time.
func (l *promptLoad) assertLimitKept(t *testing.T, endpoint int, perSecond float64, stated, until time.Time) {
	t.Helper()
	most := l.mostInWindow(endpoint, stated.Add(limitKnownTime), until)
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	t.Logf("endpoint %d: at most %d requests in %v, %.1f allowed", endpoint, most, limitWindow, allowed)
	lavassert.AtMost(t, "requests in any window", float64(most), allowed)
}

// TestStatedLimitIsKeptByAllHosts guards against hosts that together send an endpoint more than it
// has stated to take from all of them.
func TestStatedLimitIsKeptByAllHosts(t *testing.T) {
	t.Parallel()
	all, allHigh := make([]float64, promptLoadEndpoints), make([]float64, promptLoadEndpoints)
	for i := range all {
		all[i], allHigh[i] = 1, 5
	}
	tests := []struct {
		name  string
		hosts int
		// callersAt is the number of hosts that get prompts, all if it is 0.
		callersAt int
		// limits are those of the first endpoints, in requests per second.
		limits []float64
		// disturb runs beside the load, and lasts is how long the load lasts, limitedPhase if it is 0.
		disturb func(f *emulatedFleet)
		lasts   time.Duration
		// rate is the number of prompts a second, the usual one if it is 0.
		rate float64
	}{
		{"OneEndpoint", 6, 0, []float64{1.3}, nil, 0, 0},
		{"SeveralEndpoints", 6, 0, []float64{0.5, 1, 1.9, 5, 0}, nil, 0, 0},
		{"AllEndpoints", 6, 0, all, nil, 0, 0},
		{"ManyHosts", 30, 0, all, nil, 0, 0},
		{"AllPromptsAtOneHost", 6, 1, all, nil, 0, 0},
		{"HostsRestart", 6, 0, all, func(f *emulatedFleet) {
			time.Sleep(5 * time.Second)
			f.restart(0, 3)
		}, 0, 0},
		{"HostCutOffFromPeers", 6, 0, all, func(f *emulatedFleet) {
			time.Sleep(5 * time.Second)
			f.isolate(2, true)
		}, 0, 0},
		{"HostsApartForLong", 28, 0, allHigh, func(f *emulatedFleet) {
			time.Sleep(5 * time.Second)
			f.store.SetMode(standin.ModeBusy)
			for _, i := range allHosts(28) {
				f.isolate(i, true)
			}
			time.Sleep(deadPeerRetention + limitedPhase)
			for _, i := range allHosts(28) {
				f.isolate(i, false)
			}
		}, deadPeerRetention + 2*limitedPhase, 160},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := startPromptLoadOn(t, 5, test.hosts)
				if test.callersAt > 0 {
					l.hosts = test.callersAt
				}
				l.rate = cmp.Or(test.rate, l.rate)
				l.play(soundPhase)
				stated := time.Now()
				for i, perSecond := range test.limits {
					l.endpoints.Limit(promptLoadEndpoint(i), perSecond)
				}
				if test.disturb != nil {
					l.callers.Go(func() { test.disturb(l.fleet) })
				}
				l.play(cmp.Or(test.lasts, limitedPhase))
				for i, perSecond := range test.limits {
					l.assertLimitKept(t, i, perSecond, stated, time.Now())
				}
				l.end(t)
			})
		})
	}
}

// TestChangedLimitIsKept guards against hosts that keep to a limit that the endpoint no longer
// states, or to an older one.
func TestChangedLimitIsKept(t *testing.T) {
	t.Parallel()
	const low, high = 1.0, 3.0
	synctest.Test(t, func(t *testing.T) {
		l := startPromptLoad(t, 6)
		at := promptLoadEndpoint(0)
		l.play(soundPhase)
		before := l.endpoints.Served(at, time.Now().Add(-soundPhase), time.Now())
		l.endpoints.Limit(at, high)
		stated := time.Now()
		l.play(limitedPhase)
		l.assertLimitKept(t, 0, high, stated, time.Now())
		l.endpoints.Limit(at, low)
		lowered := time.Now()
		l.play(limitedPhase)
		// The host that is told of the lower limit may be told late, as requests are few.
		l.assertLimitKept(t, 0, low, lowered.Add(limitKnownTime), time.Now())
		l.endpoints.Unlimit(at)
		l.play(soundPhase)
		back := time.Now()
		l.play(soundPhase)
		lavassert.AtLeast(t, "requests without a limit", l.endpoints.Served(at, back, time.Now()), before/2)
		l.end(t)
	})
}

// TestStatedLimitIsUsed guards against requests that are refused though endpoints with a limit
// would take them, and against callers that are held for what endpoints don't take.
func TestStatedLimitIsUsed(t *testing.T) {
	t.Parallel()
	const (
		perSecond = 2.0
		// least is the share of what the limits allow that requests must use, and
		// leastAtOneHost the same if all prompts come at one host.
		least, leastAtOneHost = 0.9, 0.8
		objective             = 300 * time.Millisecond
	)
	for name, callersAt := range map[string]int{"EvenFlow": promptLoadHosts, "AllPromptsAtOneHost": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startPromptLoad(t, 7)
				l.hosts = callersAt
				l.rate = 2 * perSecond * promptLoadEndpoints
				for i := range promptLoadEndpoints {
					l.endpoints.Limit(promptLoadEndpoint(i), perSecond)
				}
				l.play(soundPhase)
				from := time.Now()
				l.play(limitedPhase)
				served := 0
				for i := range promptLoadEndpoints {
					served += l.endpoints.Served(promptLoadEndpoint(i), from, time.Now())
				}
				want := perSecond * promptLoadEndpoints * limitedPhase.Seconds()
				t.Logf("used share of the limits: %.3f", float64(served)/want)
				share := least
				if callersAt == 1 {
					share = leastAtOneHost
				}
				lavassert.AtLeast(t, "used share of the limits", float64(served)/want, share)
				_, longest := l.refusals()
				lavassert.AtMost(t, "longest time to a refusal", longest, objective)
				l.end(t)
			})
		})
	}
}
