package lavcredit_test

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavstep"
)

// bore checks that the cold engine was never overloaded, and that it was given
// work at all since before.
func bore(t *testing.T, f *fleet, before int) {
	t.Helper()
	begun, overloads := f.engine.counts()
	lavassert.Equal(t, "cold overloads", overloads, 0)
	lavassert.True(t, "work was begun", begun > before)
}

func TestColdBound(t *testing.T) {
	t.Run("four hosts share a cold endpoint", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			time.Sleep(time.Minute)
			bore(t, f, 300)
		})
	})
	t.Run("replies are lost", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			f.setLoss(0.3)
			time.Sleep(2 * time.Minute)
			bore(t, f, 300)
		})
	})
	t.Run("a holder dies while its work runs on", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			names := f.names()
			owner := f.owner(names...)
			time.Sleep(20 * time.Second)
			rest := names
			for _, name := range names {
				if name == owner.name || len(rest) == 2 {
					continue
				}
				f.hosts[name].stubborn.Store(true)
				time.Sleep(time.Second)
				f.hosts[name].die()
				rest = without(rest, name)
			}
			begun, _ := f.engine.counts()
			f.agree(rest...)
			time.Sleep(time.Minute)
			bore(t, f, begun+100)
		})
	})
	t.Run("the owner dies and another takes over", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			names := f.names()
			for range 2 {
				time.Sleep(20 * time.Second)
				owner := f.owner(names...)
				owner.stubborn.Store(true)
				time.Sleep(2 * time.Second)
				owner.die()
				names = without(names, owner.name)
				f.agree(names...)
			}
			begun, _ := f.engine.counts()
			time.Sleep(time.Minute)
			bore(t, f, begun+100)
		})
	})
	t.Run("hosts disagree on who the owner is", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			names := f.names()
			first := f.owner(names...)
			rest := without(names, first.name)
			// Half of the hosts no longer see the owner, who works on.
			for _, name := range rest[1:] {
				f.hosts[name].view.Store(viewOf(rest...))
			}
			begun, _ := f.engine.counts()
			time.Sleep(time.Minute)
			bore(t, f, begun+100)
		})
	})
	t.Run("ownership moves away and back", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			names := f.names()
			rest := without(names, f.owner(names...).name)
			for range 60 {
				f.agree(names...)
				time.Sleep(time.Duration(f.draw(3000, 9000)) * time.Millisecond)
				for _, name := range names {
					f.hosts[name].view.Store(viewOf(rest...))
				}
				time.Sleep(time.Duration(f.draw(500, 2500)) * time.Millisecond)
			}
			bore(t, f, 300)
		})
	})
	t.Run("the owner can't reach the store and another claims", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
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
			bore(t, f, begun+100)
		})
	})
}

func TestColdBoundInTime(t *testing.T) {
	for _, at := range []lavstep.Step{lavstep.None, lavstep.CreditAcquire, lavstep.CreditAdopt, lavstep.CreditGrant, lavstep.CreditClaim} {
		t.Run("hosts are replaced and paused at "+at.String(), func(t *testing.T) {
			runPausing(t, at, func(t *testing.T, f *fleet) {
				for range 20 {
					time.Sleep(time.Duration(f.draw(8000, 20_000)) * time.Millisecond)
					f.replace(f.owner(f.live()...).name)
				}
				bore(t, f, 300)
			})
		})
	}
	t.Run("an endpoint turns cold without a restart", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			for range 5 {
				f.engine.turn(false)
				time.Sleep(10 * time.Second)
				f.engine.turn(true)
				// Until its hosts can know, nothing can be promised.
				time.Sleep(reportLag + 2*reportEvery)
				f.engine.pardon()
				time.Sleep(20 * time.Second)
			}
			bore(t, f, 300)
		})
	})
	t.Run("the store is down: cold work ends, warm work goes on", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			time.Sleep(20 * time.Second)
			begun, _ := f.engine.counts()
			time.Sleep(10 * time.Second)
			later, _ := f.engine.counts()
			lavassert.Equal(t, "cold work without a claim", later-begun, 0)
			f.engine.turn(false)
			time.Sleep(20 * time.Second)
			bore(t, f, later+100)
		})
	})
	t.Run("a warm endpoint restarts cold under full load", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			f.engine.turn(false)
			for range 5 {
				time.Sleep(10 * time.Second)
				f.engine.restart()
			}
			begun, _ := f.engine.counts()
			time.Sleep(time.Minute)
			bore(t, f, begun+100)
		})
	})
	t.Run("a doubted endpoint gets nothing until it reports anew", func(t *testing.T) {
		run(t, func(t *testing.T, f *fleet) {
			time.Sleep(20 * time.Second)
			h := f.hosts["entry-a"]
			e, _ := h.Snapshot().Find(engineName)
			now := time.Now()
			h.exchange.Suspend(now, engineName)
			lavassert.Equal(t, "room", h.exchange.Available(now, e), 0)
			time.Sleep(2 * reportEvery)
			bore(t, f, 0)
		})
	})
}
