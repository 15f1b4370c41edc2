package lavshare

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

var testTerms = Terms{Lease: time.Minute, Window: 11 * time.Second, ListInterval: 40 * time.Second}

var start = time.Unix(1_000_000, 0)

// clock is the time of a test, and roster the roster that it checks.
type clock struct {
	now    time.Time
	roster *Roster
}

// joined returns the roster of host a, which may use its share beside b and c.
func joined(t *testing.T) *clock {
	t.Helper()
	c := &clock{now: start, roster: New("a", testTerms)}
	c.roster.Renewed(c.now, c.now)
	c.list("a", "b", "c")
	c.report("b", 3)
	c.report("c", 3)
	c.advance(testTerms.Window)
	c.assertMayUse(t, true)
	return c
}

func (c *clock) advance(d time.Duration)         { c.now = c.now.Add(d) }
func (c *clock) list(names ...string)            { c.roster.Listed(c.now, c.now, names) }
func (c *clock) report(name string, counted int) { c.roster.Reported(c.now, name, counted) }
func (c *clock) renew()                          { c.roster.Renewed(c.now, c.now) }
func (c *clock) assertMayUse(t *testing.T, want bool) {
	t.Helper()
	lavassert.Equal(t, "may use its share", c.roster.MayUse(c.now), want)
}

func (c *clock) assertHosts(t *testing.T, want int) {
	t.Helper()
	lavassert.Equal(t, "hosts", c.roster.Hosts(), want)
}

// listFor reads the list of members again and again for a time.
func (c *clock) listFor(d time.Duration, names ...string) {
	const pause = 10 * time.Second
	for until := c.now.Add(d); c.now.Before(until); c.advance(pause) {
		c.list(names...)
		c.renew()
	}
}

func TestSilenceReleasesNoShare(t *testing.T) {
	t.Run("WithoutStore", func(t *testing.T) {
		c := joined(t)
		c.advance(time.Hour)
		c.assertHosts(t, 3)
		c.list("a")
		c.assertHosts(t, 3)
	})
	t.Run("StillListed", func(t *testing.T) {
		c := joined(t)
		c.listFor(10*time.Minute, "a", "b", "c")
		c.assertHosts(t, 3)
	})
	t.Run("StillHeard", func(t *testing.T) {
		c := joined(t)
		for range 10 {
			c.listFor(testTerms.Lease, "a", "b")
			c.report("c", 3)
		}
		c.assertHosts(t, 3)
	})
	t.Run("StoreAwayMeanwhile", func(t *testing.T) {
		c := joined(t)
		c.listFor(testTerms.Lease, "a", "b")
		c.advance(testTerms.ListInterval + time.Second)
		c.listFor(testTerms.Lease, "a", "b")
		c.assertHosts(t, 3)
	})
}

func TestEndedHostIsCountedUntilItsLeaseAndTheWindowAreOver(t *testing.T) {
	c := joined(t)
	c.listFor(testTerms.Lease+testTerms.Window, "a", "b")
	c.assertHosts(t, 3)
	c.listFor(20*time.Second, "a", "b")
	c.report("b", 2)
	c.assertHosts(t, 2)
	_, counted := c.roster.Index("c")
	lavassert.True(t, "c is no longer counted", !counted)
	index, _ := c.roster.Index("b")
	lavassert.Equal(t, "index of b", index, 1)
}

func TestShareNeedsContactWithTheStore(t *testing.T) {
	t.Run("NoContact", func(t *testing.T) {
		c := joined(t)
		c.advance(testTerms.Lease - testTerms.Window - time.Second)
		c.assertMayUse(t, true)
		c.advance(2 * time.Second)
		c.assertMayUse(t, false)
	})
	t.Run("NotRenewed", func(t *testing.T) {
		c := joined(t)
		for range 10 {
			c.advance(10 * time.Second)
			c.list("a", "b", "c")
		}
		c.assertMayUse(t, false)
	})
	t.Run("ListNotRead", func(t *testing.T) {
		c := joined(t)
		for range 10 {
			c.advance(10 * time.Second)
			c.renew()
		}
		c.assertMayUse(t, false)
	})
	t.Run("JoinsAgainAfterwards", func(t *testing.T) {
		c := joined(t)
		c.advance(testTerms.Lease)
		c.renew()
		c.list("a", "b", "c")
		c.advance(testTerms.Window)
		c.assertMayUse(t, false)
		c.report("b", 3)
		c.report("c", 3)
		c.advance(testTerms.Window)
		c.assertMayUse(t, true)
	})
}

func TestJoiningHostWaitsUntilAllCountIt(t *testing.T) {
	join := func() *clock {
		c := &clock{now: start, roster: New("d", testTerms)}
		c.report("b", 3)
		c.renew()
		c.advance(time.Second)
		c.list("a", "b", "c", "d")
		c.report("a", 4)
		c.report("c", 4)
		return c
	}
	t.Run("OneReportIsEarlier", func(t *testing.T) {
		c := join()
		c.advance(testTerms.Window)
		c.assertMayUse(t, false)
	})
	t.Run("OneCountsFewer", func(t *testing.T) {
		c := join()
		c.report("b", 3)
		c.advance(testTerms.Window)
		c.assertMayUse(t, false)
	})
	t.Run("AllCountIt", func(t *testing.T) {
		c := join()
		c.report("b", 4)
		c.assertMayUse(t, false)
		c.advance(testTerms.Window)
		c.assertMayUse(t, true)
	})
	t.Run("OneStaysSilent", func(t *testing.T) {
		c := join()
		c.listFor(testTerms.Lease, "a", "b", "c", "d")
		c.assertMayUse(t, false)
		c.listFor(2*testTerms.Window, "a", "b", "c", "d")
		c.assertMayUse(t, true)
	})
	t.Run("ListNotReadSinceItJoined", func(t *testing.T) {
		c := &clock{now: start, roster: New("a", testTerms)}
		c.list("a")
		c.advance(time.Second)
		c.renew()
		c.advance(testTerms.Window)
		lavassert.True(t, "needs the list", c.roster.NeedsList())
		c.assertMayUse(t, false)
	})
}

func TestLargerCountOfAnotherHostHolds(t *testing.T) {
	c := joined(t)
	c.report("b", 5)
	c.assertHosts(t, 5)
	lavassert.Equal(t, "counted", c.roster.Counted(), 3)
	c.report("b", 3)
	c.assertHosts(t, 3)
}
