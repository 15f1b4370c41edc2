package lavhost

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// resumedShareWait is how long after its start a host may be without the share that its predecessor left.
const resumedShareWait = retryWindow / 5

// TestPlannedRestartKeepsTheShare guards against hosts that have no retry after a planned restart, although
// what they sent before is known.
func TestPlannedRestartKeepsTheShare(t *testing.T) {
	for _, gap := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprintf("AllHostsEach%v", gap), func(t *testing.T) {
			t.Parallel()
			withRetryLoad(t, smallRetryHosts, 0, func(t *testing.T, l *shareLoad) {
				var restarts sync.WaitGroup
				without := make([]bool, 2*smallRetryHosts)
				for n := range without {
					restarts.Go(func() {
						i := n % smallRetryHosts
						l.fleet.restart(i)
						time.Sleep(resumedShareWait)
						without[n] = l.fleet.host(i).fleet.RetryBurstWithheld()
					})
					time.Sleep(gap)
				}
				restarts.Wait()
				hosts := 0
				for _, w := range without {
					if w {
						hosts++
					}
				}
				lavassert.Equal(t, "restarts after which the share was withheld", hosts, 0)
				l.play(time.Second)
				lavassert.AtLeast(t, "used share of the burst", float64(len(l.sent))/retryBurst, 0.9)
				l.play(2 * retryWindow)
				lavassert.AtMost(t, "retries of all hosts in a window", l.most(retryWindow), retryBurst)
			})
		})
	}
}

// TestRestartedHostDoesNotSpendTwice guards against a restarted host that sends again what its predecessor
// has sent in the window.
func TestRestartedHostDoesNotSpendTwice(t *testing.T) {
	const part = retryBurst / smallRetryHosts
	for _, spent := range []int{0, part / 3, part} {
		t.Run(fmt.Sprintf("Spent%d", spent), func(t *testing.T) {
			withRetryLoad(t, smallRetryHosts, 0, func(t *testing.T, l *shareLoad) {
				for range spent {
					lavassert.True(t, "the predecessor may send", l.send(l.fleet.host(3)))
				}
				l.fleet.restart(3)
				time.Sleep(resumedShareWait)
				left := 0
				for l.send(l.fleet.host(3)) {
					left++
				}
				lavassert.Equal(t, "retries left to the successor", left, part-spent)
			})
		})
	}
}

// TestRetryBudgetIsKeptByHostsThatTakeUpShares guards against a host that takes up a share which others have
// divided among themselves, or don't count.
func TestRetryBudgetIsKeptByHostsThatTakeUpShares(t *testing.T) {
	tests := []struct {
		name    string
		later   int
		disturb func(l *shareLoad)
	}{
		{"HostsJoinMeanwhile", 6, func(l *shareLoad) {
			l.fleet.leave(0, 1, 2, 3)
			l.fleet.startLater()
			l.play(2 * retryWindow)
		}},
		{"HostsJoinWhileItIsAway", 6, func(l *shareLoad) {
			l.fleet.leave(3)
			for i := smallRetryHosts - 6; i < smallRetryHosts; i++ {
				l.fleet.hosts[i] = l.fleet.start(i)
			}
			l.play(15 * time.Second)
			l.fleet.startLater()
			l.play(2 * retryWindow)
		}},
		{"AllOthersRestartWhileItIsAway", 0, func(l *shareLoad) {
			l.fleet.leave(3)
			for i := range l.fleet.hosts {
				if i != 3 {
					l.fleet.restart(i)
					l.play(time.Second / 2)
				}
			}
			l.fleet.startLater()
			l.play(3 * retryWindow)
		}},
		{"AllOthersAreKilledWhileItIsAway", 0, func(l *shareLoad) {
			l.fleet.leave(3)
			others := slices.DeleteFunc(l.some(1), func(i int) bool { return i == 3 })
			l.fleet.kill(others...)
			for _, i := range others {
				l.fleet.network.SetDown(emulatedHost(i), false)
				l.fleet.hosts[i] = l.fleet.start(i)
			}
			l.play(14 * time.Second)
			l.fleet.startLater()
			l.play(3 * retryWindow)
		}},
		{"AwayForLong", 0, func(l *shareLoad) {
			l.fleet.leave(0, 1, 2, 3)
			l.play(9 * retryWindow)
			l.fleet.startLater()
			l.play(3 * retryWindow)
		}},
		{"WhileHostsAreApart", 0, func(l *shareLoad) {
			l.isolate(0.5, true)
			l.play(retryWindow)
			l.fleet.restart(l.some(0.8)...)
			l.play(2 * retryWindow)
			l.isolate(0.5, false)
			l.play(2 * retryWindow)
		}},
		{"WhileTheStoreIsAway", 0, func(l *shareLoad) {
			l.fleet.store.SetMode(standin.ModeBusy)
			l.fleet.restart(l.some(0.5)...)
			l.play(retryWindow)
			l.fleet.store.SetMode(standin.ModeUp)
			l.play(3 * retryWindow)
		}},
		{"AfterThePredecessorTookUpItsOwn", 0, func(l *shareLoad) {
			for range 4 {
				l.fleet.restart(l.some(0.5)...)
				l.play(time.Second)
			}
			l.play(2 * retryWindow)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			withRetryLoad(t, smallRetryHosts, test.later, func(t *testing.T, l *shareLoad) {
				l.play(retryWindow / 2)
				test.disturb(l)
				t.Logf("at most %d retries in %v, %d allowed; %d in all", l.most(retryWindow), retryWindow, retryBurst, len(l.sent))
				lavassert.AtMost(t, "retries of all hosts in a window", l.most(retryWindow), retryBurst)
			})
		})
	}
}

// TestUnknownSpendingIsAssumed guards against a host that takes for known what its predecessor sent, though
// that was killed after it had taken up the share of its own predecessor.
func TestUnknownSpendingIsAssumed(t *testing.T) {
	withRetryLoad(t, smallRetryHosts, 0, func(t *testing.T, l *shareLoad) {
		l.fleet.restart(3)
		time.Sleep(resumedShareWait)
		for l.send(l.fleet.host(3)) {
			l.sent = append(l.sent, time.Now())
		}
		l.fleet.killAndRestart(3)
		l.play(3 * retryWindow)
		lavassert.AtMost(t, "retries of all hosts in a window", l.most(retryWindow), retryBurst)
	})
}
