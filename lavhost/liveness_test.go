package lavhost

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// largeFleet is the size of a fleet in which most hosts don't send their status.
const largeFleet = smallFleetHosts + 12

// runFleet runs a large fleet until all hosts have heard of each other.
func runFleet(t *testing.T, body func(t *testing.T, f *emulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, largeFleet, 10)
		defer f.end(t)
		time.Sleep(5 * time.Second)
		lavassert.Equal(t, "members in the smallest view", f.smallestView(), largeFleet)
		lavassert.Equal(t, "hosts that direct callers to the last one", f.countOffered(largeFleet-1), largeFleet)
		body(t, f)
	})
}

// TestLargeFleet checks what a fleet knows of its hosts, whose heartbeats are seconds apart.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	const last = largeFleet - 1
	t.Run("LiveHostsStay", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *emulatedFleet) {
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				lavassert.Equal(t, "members in the smallest view", f.smallestView(), largeFleet)
			}
		})
	})
	t.Run("CutOffHostIsDroppedAndReturns", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *emulatedFleet) {
			f.isolate(last, true)
			time.Sleep(4 * time.Second)
			lavassert.Equal(t, "hosts that count the isolated one as alive", f.countAlive(last), 0)
			f.isolate(last, false)
			time.Sleep(4 * time.Second)
			lavassert.Equal(t, "hosts that count it as alive after the partition", f.countAlive(last), last)
		})
	})
	t.Run("PlannedStopIsKnownAtOnce", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *emulatedFleet) {
			f.stopHost[last]()
			time.Sleep(500 * time.Millisecond)
			lavassert.Equal(t, "hosts that direct callers to the draining one", f.countOffered(last), 0)
		})
	})
	t.Run("ChangeIsInForceEverywhere", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *emulatedFleet) {
			f.store.PutEntry(standin.ConfigEntry(0, 2, "s"))
			time.Sleep(2 * time.Second)
			lavassert.Equal(t, "lowest version in force", f.version(), lavconfig.Version(2))
		})
	})
	t.Run("ChangeIsInForceThoughWatchersAreTurnedAway", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *emulatedFleet) {
			turnedAway := 0
			for i, h := range f.hosts {
				if h.peers.watches() {
					f.network.SetPartitioned(f.hosts[i].settings.Host, "store", true)
					turnedAway++
				}
			}
			lavassert.AtMost(t, "watchers", turnedAway, watcherCount)
			time.Sleep(5 * time.Second)
			f.store.PutEntry(standin.ConfigEntry(0, 2, "s"))
			time.Sleep(3 * time.Second)
			lavassert.Equal(t, "lowest version in force", f.version(), lavconfig.Version(2))
			calls := f.store.Calls()
			time.Sleep(10 * time.Second)
			lavassert.AtMost(t, "calls of the store in 10 s", f.store.Calls()-calls, 200)
		})
	})
}

// TestLiveness checks when a peer counts as alive, in fleets of two sizes.
func TestLiveness(t *testing.T) {
	const small, large = 9, 295
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name  string
		peer  liveness
		hosts int
		want  bool
	}{
		{"heartbeat in time", liveness{lastHeartbeat: ago(1900 * time.Millisecond)}, small, true},
		{"heartbeat too old for a small fleet", liveness{lastHeartbeat: ago(2 * time.Second)}, small, false},
		{"the same in a large one", liveness{lastHeartbeat: ago(2 * time.Second)}, large, true},
		{"two heartbeats missed in a large one", liveness{lastHeartbeat: ago(25 * time.Second)}, large, true},
		{"three heartbeats missed in a large one", liveness{lastHeartbeat: ago(30 * time.Second)}, large, false},
		{"suspected a moment ago", liveness{lastHeartbeat: ago(2 * time.Second), suspectedAt: ago(500 * time.Millisecond)}, large, true},
		{"suspicion not answered", liveness{lastHeartbeat: ago(2 * time.Second), suspectedAt: ago(700 * time.Millisecond)}, large, false},
		{"suspicion answered", liveness{lastHeartbeat: ago(600 * time.Millisecond), suspectedAt: ago(700 * time.Millisecond)}, large, true},
		{"listed by the store", liveness{firstSeen: ago(time.Second)}, small, true},
		{"listed, but never heard of", liveness{firstSeen: ago(2 * time.Second)}, small, false},
		{"listed, and its first heartbeat may still come", liveness{firstSeen: ago(2 * time.Second)}, large, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			lavassert.Equal(t, "alive", c.peer.alive(now, c.hosts), c.want)
		})
	}
}
