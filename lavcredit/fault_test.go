package lavcredit_test

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavstep"
)

// checkColdLimit checks that the cold engine was never overloaded, and that it has
// got more requests than minRequests. Without the second check a fleet that sends
// nothing would pass.
func checkColdLimit(t *testing.T, f *fleet, minRequests int) {
	t.Helper()
	begun, overloads := f.engine.counts()
	lavassert.Equal(t, "cold overloads", overloads, 0)
	lavassert.True(t, "engine got more than minRequests requests", begun > minRequests)
}

// TestColdBound guards against hosts overloading a cold endpoint when replies are
// lost, hosts crash, or ownership moves.
func TestColdBound(t *testing.T) {
	t.Run("four hosts share a cold endpoint", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			time.Sleep(time.Minute)
			checkColdLimit(t, f, 300)
		})
	})
	t.Run("30% of the replies are lost", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			f.setLossRate(0.3)
			time.Sleep(2 * time.Minute)
			checkColdLimit(t, f, 300)
		})
	})
	t.Run("two holders crash while their requests keep running", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			names := f.names()
			owner := f.owner(names...)
			time.Sleep(20 * time.Second)
			rest := names
			for _, name := range names {
				if name == owner.name || len(rest) == 2 {
					continue
				}
				f.hosts[name].workOutlivesHost.Store(true)
				time.Sleep(time.Second)
				f.hosts[name].crash()
				rest = without(rest, name)
			}
			begun, _ := f.engine.counts()
			f.setView(rest...)
			time.Sleep(time.Minute)
			checkColdLimit(t, f, begun+100)
		})
	})
	t.Run("the owner crashes and another host takes over, twice", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			names := f.names()
			for range 2 {
				time.Sleep(20 * time.Second)
				owner := f.owner(names...)
				owner.workOutlivesHost.Store(true)
				time.Sleep(2 * time.Second)
				owner.crash()
				names = without(names, owner.name)
				f.setView(names...)
			}
			begun, _ := f.engine.counts()
			time.Sleep(time.Minute)
			checkColdLimit(t, f, begun+100)
		})
	})
	t.Run("hosts disagree about the owner", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			names := f.names()
			first := f.owner(names...)
			rest := without(names, first.name)
			// Half of the hosts no longer see the owner, which keeps granting.
			for _, name := range rest[1:] {
				f.hosts[name].view.Store(viewOf(rest...))
			}
			begun, _ := f.engine.counts()
			time.Sleep(time.Minute)
			checkColdLimit(t, f, begun+100)
		})
	})
	t.Run("ownership repeatedly moves to another host and back", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			names := f.names()
			rest := without(names, f.owner(names...).name)
			for range 60 {
				f.setView(names...)
				time.Sleep(time.Duration(f.randomInt(3000, 9000)) * time.Millisecond)
				for _, name := range names {
					f.hosts[name].view.Store(viewOf(rest...))
				}
				time.Sleep(time.Duration(f.randomInt(500, 2500)) * time.Millisecond)
			}
			checkColdLimit(t, f, 300)
		})
	})
	t.Run("the owner loses the store and another host claims the endpoint", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			names := f.names()
			first := f.owner(names...)
			first.store.cut.Store(true)
			rest := without(names, first.name)
			for _, name := range rest[1:] {
				f.hosts[name].view.Store(viewOf(rest...))
			}
			begun, _ := f.engine.counts()
			time.Sleep(2 * time.Minute)
			checkColdLimit(t, f, begun+100)
		})
	})
}

// TestColdBoundDuringChanges guards against hosts overloading a cold endpoint when
// hosts are paused or replaced, the store is down, or the endpoint turns cold or
// restarts.
func TestColdBoundDuringChanges(t *testing.T) {
	for _, at := range []lavstep.Step{lavstep.None, lavstep.CreditAcquire, lavstep.CreditAdopt, lavstep.CreditGrant, lavstep.CreditClaim} {
		t.Run("hosts are replaced and paused at "+at.String(), func(t *testing.T) {
			runPausingFleet(t, at, func(t *testing.T, f *fleet) {
				for range 20 {
					time.Sleep(time.Duration(f.randomInt(8000, 20_000)) * time.Millisecond)
					f.replace(f.owner(f.liveHosts()...).name)
				}
				checkColdLimit(t, f, 300)
			})
		})
	}
	t.Run("an endpoint turns cold without a restart", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			for range 5 {
				f.engine.setCold(false)
				time.Sleep(10 * time.Second)
				f.engine.setCold(true)
				// Overloads don't count until reports of the change have reached
				// the hosts.
				time.Sleep(reportDelay + 2*reportInterval)
				f.engine.resetOverloads()
				time.Sleep(20 * time.Second)
			}
			checkColdLimit(t, f, 300)
		})
	})
	t.Run("while the store is down a cold endpoint gets no requests and a warm one does", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			time.Sleep(20 * time.Second)
			begun, _ := f.engine.counts()
			time.Sleep(10 * time.Second)
			later, _ := f.engine.counts()
			lavassert.Equal(t, "requests to a cold endpoint without a claim", later-begun, 0)
			f.engine.setCold(false)
			time.Sleep(20 * time.Second)
			checkColdLimit(t, f, later+100)
		})
	})
	t.Run("a warm endpoint restarts cold under full load", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			f.engine.setCold(false)
			for range 5 {
				time.Sleep(10 * time.Second)
				f.engine.restart()
			}
			begun, _ := f.engine.counts()
			time.Sleep(time.Minute)
			checkColdLimit(t, f, begun+100)
		})
	})
	t.Run("a suspended endpoint has no credit until its next load report", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			h := f.hosts["entry-a"]
			e, _ := h.Snapshot().Find(engineName)
			now := time.Now()
			h.exchange.Suspend(now, engineName)
			lavassert.Equal(t, "available tokens", h.exchange.Available(now, e), 0)
			time.Sleep(2 * reportInterval)
			checkColdLimit(t, f, 0)
		})
	})
}
