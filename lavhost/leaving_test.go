package lavhost

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
)

// TestPeersAvoidLeavingEndpoint guards against requests of other hosts to an endpoint that has
// told one host that it will leave.
func TestPeersAvoidLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4, 3)
		time.Sleep(5 * time.Second)
		first, _ := f.hosts[0].fleet.Snapshot("s", func(lavconfig.Incarnation) bool { return false })
		lavassert.Equal(t, "endpoints before", len(first.Endpoints), 3)
		life := first.Endpoints[0].Incarnation()
		f.hosts[0].fleet.RecordLeaving(life)
		f.hosts[0].peers.broadcastLeaving(life)
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			b, _ := h.fleet.Snapshot("s", func(lavconfig.Incarnation) bool { return false })
			lavassert.Equal(t, "endpoints left out", b.Excluded[lavfleet.ReasonLeaving], 1)
		}
		f.end(t)
	})
}
