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
		f.hosts[0].peers.TellLeaving(life)
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			b, _ := h.fleet.Snapshot("s", func(lavconfig.Incarnation) bool { return false })
			lavassert.Equal(t, "endpoints left out", b.Excluded[lavfleet.ReasonLeaving], 1)
		}
		f.end(t)
	})
}

// TestEndpointThatLeftReturns guards against requests to an endpoint that has stated that it will
// leave, and against an endpoint that is left out after it has started again.
func TestEndpointThatLeftReturns(t *testing.T) {
	const (
		drainTime = 2 * time.Second
		// changeTime is how long a change of the store may take to be known.
		changeTime = 2 * time.Second
		returnTime = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		l := startPromptLoad(t, 4)
		at := promptLoadEndpoint(0)
		l.play(soundPhase)
		share := l.endpoints.Served(at, time.Now().Add(-soundPhase), time.Now())
		lavassert.AtLeast(t, "streams of the endpoint before", share, 1)
		l.endpoints.Leave(at)
		left := time.Now()
		l.play(soundPhase)
		lavassert.Equal(t, "streams after it has stated that it will leave", l.endpoints.Served(at, left.Add(drainTime), time.Now()), 0)
		l.endpoints.Restart(at)
		back := time.Now()
		l.play(soundPhase)
		lavassert.AtLeast(t, "streams in the first seconds after its return", l.endpoints.Served(at, back, back.Add(changeTime+returnTime)), 1)
		lavassert.AtLeast(t, "streams after its return", l.endpoints.Served(at, back, time.Now()), share/2)
		l.end(t)
	})
}
