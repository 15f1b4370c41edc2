package lavshare

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// successor returns host a as it starts again with what the host of a clock leaves it.
func successor(t *testing.T, c *clock, away time.Duration) *clock {
	t.Helper()
	left, ok := c.roster.Handover(c.now)
	lavassert.True(t, "there is a share to leave", ok)
	s := &clock{now: c.now.Add(away), roster: New("a", testTerms)}
	s.renew()
	s.roster.TakeUp(s.now, left)
	return s
}

// state has another host state its division.
func (c *clock) state(name string, hosts int, held time.Duration) {
	c.roster.Divided(c.now, name, hosts, held)
}

func TestSuccessorTakesUpTheShare(t *testing.T) {
	t.Run("OnceItHasReadTheListAndTheOthersCountIt", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.state("b", 3, time.Minute)
		s.state("c", 3, time.Minute)
		s.assertMayUse(t, false)
		s.list("a", "b", "c")
		s.assertMayUse(t, true)
		s.assertHosts(t, 3)
	})
	t.Run("AnEarlierReadOfTheListEndsLater", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.list("a", "b")
		s.roster.Listed(s.now, s.now.Add(-time.Second), []string{"a", "b"})
		s.state("b", 3, time.Minute)
		s.assertMayUse(t, true)
	})
	t.Run("WithoutHostsThatAreAwayToo", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.list("a", "b")
		s.state("b", 3, time.Minute)
		s.assertMayUse(t, true)
		s.assertHosts(t, 3)
	})
	t.Run("CountsHostsThatAreAway", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.list("a", "b")
		s.assertHosts(t, 3)
	})
	t.Run("CountsHostsThatJoinedMeanwhile", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.list("a", "b", "c", "d")
		s.assertHosts(t, 4)
	})
	t.Run("DividesByTheLargestCountThatWasReported", func(t *testing.T) {
		c := joined(t)
		c.report("b", 5)
		s := successor(t, c, 5*time.Second)
		s.list("a", "b", "c")
		s.assertHosts(t, 5)
		s.report("b", 3)
		s.report("c", 3)
		s.assertHosts(t, 3)
	})
	t.Run("LeavesItAgain", func(t *testing.T) {
		s := joined(t)
		for range 3 {
			s = successor(t, s, 5*time.Second)
			s.list("a", "b", "c")
			s.state("b", 3, time.Minute)
			s.state("c", 3, time.Minute)
			s.assertMayUse(t, true)
		}
	})
	t.Run("LeavesItAgainBeforeItMayUseIt", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.list("a", "b", "c")
		s.assertMayUse(t, false)
		s = successor(t, s, 5*time.Second)
		s.list("a", "b", "c")
		s.state("b", 3, time.Minute)
		s.state("c", 3, time.Minute)
		s.assertMayUse(t, true)
	})
	t.Run("NotAfterItsLeaseHasEnded", func(t *testing.T) {
		s := successor(t, joined(t), 5*time.Second)
		s.advance(testTerms.Lease + time.Second)
		s.renew()
		s.list("a", "b", "c")
		s.assertMayUse(t, false)
	})
}

func TestHostWithoutShareLeavesNone(t *testing.T) {
	c := &clock{now: start, roster: New("a", testTerms)}
	c.renew()
	c.list("a", "b", "c")
	_, ok := c.roster.Handover(c.now)
	lavassert.True(t, "no share to leave", !ok)
}

func TestSuccessorWaitsUntilOthersHaveLeftRoomForAWindow(t *testing.T) {
	resume := func(t *testing.T) *clock {
		t.Helper()
		s := successor(t, joined(t), 5*time.Second)
		s.list("a", "b", "c")
		s.state("b", 3, time.Minute)
		return s
	}
	t.Run("OneHasNotStatedIt", func(t *testing.T) {
		s := resume(t)
		s.assertMayUse(t, false)
		s.state("c", 3, time.Minute)
		s.assertMayUse(t, true)
	})
	t.Run("OneDividesByFewer", func(t *testing.T) {
		s := resume(t)
		s.state("c", 2, time.Minute)
		s.assertMayUse(t, false)
	})
	t.Run("OneHasDividedByFewerInTheWindow", func(t *testing.T) {
		s := resume(t)
		s.state("c", 3, 2*time.Second)
		s.assertMayUse(t, false)
		s.advance(testTerms.Window - 2*time.Second)
		s.assertMayUse(t, true)
	})
	t.Run("OneRestartsAfterItHasStatedIt", func(t *testing.T) {
		s := resume(t)
		s.state("c", 3, time.Minute)
		s.state("c", 0, 0)
		s.assertMayUse(t, true)
	})
}

func TestStatedDivisionIsThatOfUsedShares(t *testing.T) {
	stated := func(c *clock) division {
		hosts, held := c.roster.Division(c.now)
		return division{hosts: hosts, since: c.now.Add(-held)}
	}
	t.Run("MoreHostsAreCounted", func(t *testing.T) {
		c := joined(t)
		c.roster.Divide(c.now)
		c.advance(time.Second)
		c.list("a", "b", "c", "d")
		c.roster.Divide(c.now)
		lavassert.Equal(t, "division", stated(c), division{hosts: 4, since: c.now})
	})
	t.Run("NoneIsUsedYet", func(t *testing.T) {
		c := &clock{now: start, roster: New("a", testTerms)}
		c.renew()
		c.advance(time.Second)
		c.list("a", "b")
		c.roster.Divide(c.now)
		lavassert.True(t, "held since it joined", stated(c).since.Equal(start))
	})
}
