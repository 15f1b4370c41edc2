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
		// returnedPhase is so long that the endpoint's share of the prompts in it
		// hardly varies by chance.
		returnedPhase = 3 * soundPhase
	)
	synctest.Test(t, func(t *testing.T) {
		l := startPromptLoad(t, 4)
		at := promptLoadEndpoint(0)
		l.play(soundPhase)
		lavassert.AtLeast(t, "streams of the endpoint before", l.endpoints.Served(at, time.Now().Add(-soundPhase), time.Now()), 1)
		l.endpoints.Leave(at)
		left := time.Now()
		l.play(soundPhase)
		lavassert.Equal(t, "streams after it has stated that it will leave", l.endpoints.Served(at, left.Add(drainTime), time.Now()), 0)
		l.endpoints.Restart(at)
		back := time.Now()
		l.play(returnedPhase)
		lavassert.AtLeast(t, "streams in the first seconds after its return", l.endpoints.Served(at, back, back.Add(changeTime+returnTime)), 1)
		equalShare := l.sentBetween(back, time.Now()) / promptLoadEndpoints
		served := l.endpoints.Served(at, back, time.Now())
		t.Logf("%d streams after its return, an equal share would be %d", served, equalShare)
		lavassert.AtLeast(t, "streams after its return", served, equalShare/2)
		l.end(t)
	})
}

// TestCallersReturnSpread guards against a flood of callers at the end of a time for which all
// endpoints wanted no requests, and against callers that are told to return before it.
func TestCallersReturnSpread(t *testing.T) {
	const (
		aloneTime = 6 * time.Second
		step      = 500 * time.Millisecond
		// mostOfUsual is how many times the usual number of prompts may come in a step.
		mostOfUsual = 3
	)
	synctest.Test(t, func(t *testing.T) {
		l := startPromptLoad(t, 8)
		l.playReturning(soundPhase)
		usual := soundRequestsPerS * step.Seconds()
		for i := range promptLoadEndpoints {
			l.endpoints.LeaveAlone(promptLoadEndpoint(i), aloneTime)
		}
		began := time.Now()
		end := began.Add(aloneTime)
		l.playReturning(aloneTime + soundPhase)
		during := float64(l.sentBetween(began.Add(time.Second), end)) / (aloneTime - time.Second).Seconds()
		lavassert.AtMost(t, "prompts a second before the end", during, soundRequestsPerS*1.2)
		peak := 0
		for at := end; at.Before(end.Add(soundPhase)); at = at.Add(step / 5) {
			peak = max(peak, l.sentBetween(at, at.Add(step)))
		}
		refused, longest := l.refusals()
		t.Logf("usual %.0f in %v, at most %d after the end; %d refused", usual, step, peak, refused)
		lavassert.AtMost(t, "prompts in a step after the end", float64(peak), mostOfUsual*usual)
		lavassert.AtMost(t, "longest time to a refusal", longest, 300*time.Millisecond)
		l.end(t)
	})
}

// TestCallersAreToldOfAbsence guards against callers that are told to return at once, over and over,
// while a host asks one endpoint after the other and all want no requests.
func TestCallersAreToldOfAbsence(t *testing.T) {
	const (
		aloneTime = 6 * time.Second
		// mostPerHost is how many callers of a host may be told to return before the end.
		mostPerHost = 5
	)
	synctest.Test(t, func(t *testing.T) {
		l := startPromptLoad(t, 8)
		l.playReturning(soundPhase)
		for i := range promptLoadEndpoints {
			l.endpoints.LeaveAlone(promptLoadEndpoint(i), aloneTime)
		}
		end := time.Now().Add(aloneTime)
		before := l.returnsBefore(end)
		l.playReturning(aloneTime)
		returns := l.returnsBefore(end) - before
		t.Logf("%d callers were told to return before the end", returns)
		lavassert.AtMost(t, "callers told to return before the end", returns, mostPerHost*promptLoadHosts)
		l.end(t)
	})
}
