package lavhost

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/platform"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestCallsWhileTheStoreIsAway counts the calls of a fleet to a store that refuses them, since
// refused calls are charged too, and checks that all hosts are registered soon afterwards.
func TestCallsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, outage = 9, 20 * time.Second
		f := startFleet(t, hosts, 3)
		defer f.end(t)
		time.Sleep(5 * time.Second)
		lavassert.Equal(t, "registered hosts", len(f.store.Keys(platform.PrefixMembers)), hosts)
		f.store.SetMode(standin.ModeBusy)
		before := f.store.Calls()
		time.Sleep(outage)
		seconds := int(outage / time.Second)
		followers := int(time.Second / retryDelay)
		lavassert.AtMost(t, "refused calls", f.store.Calls()-before, hosts*seconds*(followers+1))
		f.store.SetMode(standin.ModeUp)
		time.Sleep(leaseRetryDelay + time.Second)
		lavassert.Equal(t, "registered hosts after the outage", len(f.store.Keys(platform.PrefixMembers)), hosts)
	})
}
