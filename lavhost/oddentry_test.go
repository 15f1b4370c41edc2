package lavhost

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestOddEntriesDontStopHosts guards against hosts that end, or stop to follow the store, as another
// writer leaves an entry among those of the endpoints that can't be read.
func TestOddEntriesDontStopHosts(t *testing.T) {
	odd := standin.OddEndpointValues()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 4)
		defer f.end(t)
		time.Sleep(5 * time.Second)
		for name, value := range odd {
			entry := standin.EndpointEntry("odd-"+name, 0, "s", "10.100.0.1:80", "zone-0", "ready")
			entry.Value = []byte(value)
			f.store.PutEntry(entry)
		}
		time.Sleep(5 * time.Second)
		f.restart(1)
		f.store.PutEntry(standin.EndpointEntry("e9", 0, "s", "10.100.0.9:80", "zone-0", "ready"))
		f.store.PutEntry(standin.ConfigEntry(0, 2, "s"))
		time.Sleep(5 * time.Second)
		lavassert.Equal(t, "lowest version in force", f.version(), lavconfig.Version(2))
		for i := range f.hosts {
			ids := make(map[string]bool)
			for _, life := range f.host(i).fleet.KnownEndpoints() {
				ids[life.ID] = true
			}
			for name := range odd {
				lavassert.True(t, fmt.Sprintf("host %d doesn't use the endpoint %s", i, name), !ids["odd-"+name])
			}
			lavassert.Equal(t, fmt.Sprintf("endpoints that host %d knows", i), len(ids), 5)
		}
	})
}
