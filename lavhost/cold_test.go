package lavhost

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// Bounds of the requests to an endpoint that may be cold: in any second at most coldRate * coldFactor +
// coldSlack.
const (
	coldRate   = 2
	coldFactor = 1.5
	coldSlack  = 5
	coldPhase  = 15 * time.Second
)

// startColdLoad starts a fleet before endpoints that may be cold.
func startColdLoad(t *testing.T, seed uint64, hosts int) *promptLoad {
	t.Helper()
	l := startPromptLoadOn(t, seed, hosts)
	for _, h := range l.fleet.hosts {
		h.fleet.SetBounds(lavfleet.Bounds{ColdFactor: coldFactor, ColdSlack: coldSlack})
	}
	l.fleet.store.Put(platform.KeyConfig, standin.ColdConfigValue(2, "s", coldRate))
	time.Sleep(promptLoadSettle)
	return l
}

// mostInSecond returns the largest number of requests that arrived at an endpoint in a second.
func (l *promptLoad) mostInSecond(from, until time.Time) int {
	const step = 20 * time.Millisecond
	most := 0
	for i := range promptLoadEndpoints {
		for at := from; at.Before(until); at = at.Add(step) {
			most = max(most, l.endpoints.Served(promptLoadEndpoint(i), at, at.Add(time.Second)))
		}
	}
	return most
}

// TestColdLimitIsKeptByAllHosts plays prompts that the shares of some hosts don't allow, though all
// hosts together may send them: they are served, within the limit.
func TestColdLimitIsKeptByAllHosts(t *testing.T) {
	t.Parallel()
	// served is the least share of the prompts that must reach an endpoint.
	const served = 0.8
	tests := []struct {
		name             string
		hosts, callersAt int
		// disturb runs beside the load, and mayRefuse is true if prompts may be refused meanwhile.
		disturb   func(f *emulatedFleet)
		mayRefuse bool
	}{
		{"AllPromptsAtOneHost", 6, 1, nil, false},
		{"ManyHosts", 30, 30, nil, false},
		{"HostsRestart", 6, 2, func(f *emulatedFleet) {
			time.Sleep(5 * time.Second)
			f.restart(3, 4)
			for _, i := range []int{3, 4} {
				f.host(i).fleet.SetBounds(lavfleet.Bounds{ColdFactor: coldFactor, ColdSlack: coldSlack})
			}
		}, true},
		{"HostCutOffFromPeers", 6, 2, func(f *emulatedFleet) {
			time.Sleep(5 * time.Second)
			f.isolate(2, true)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startColdLoad(t, 9, test.hosts)
				l.hosts = test.callersAt
				l.rate = 60
				from := time.Now()
				if test.disturb != nil {
					l.callers.Go(func() { test.disturb(l.fleet) })
				}
				l.play(coldPhase)
				until := time.Now()
				arrived := 0
				for i := range promptLoadEndpoints {
					arrived += l.endpoints.Served(promptLoadEndpoint(i), from, until)
				}
				share := float64(arrived) / float64(l.sentBetween(from, until))
				t.Logf("most in a second %d of %v, share of prompts that reached an endpoint %.2f", l.mostInSecond(from, until), coldRate*coldFactor+coldSlack, share)
				lavassert.AtMost(t, "requests in a second", float64(l.mostInSecond(from, until)), coldRate*coldFactor+coldSlack)
				if !test.mayRefuse {
					lavassert.AtLeast(t, "share of prompts that reached an endpoint", share, served)
				}
				l.end(t)
			})
		})
	}
}
