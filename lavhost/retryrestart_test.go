package lavhost

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// restartedShareWait is how long after its start a host may be without its share of the burst: as long as
// what it sent before counts, while a peer is down that it still counts, and until that has reported and
// the load tries again.
const (
	peerDownTime       = time.Second
	reportAndTryTime   = time.Second
	restartedShareWait = retryWindow*11/10 + peerDownTime + reportAndTryTime
)

// restartLoad restarts hosts while all hosts send as many retries as they may.
type restartLoad struct {
	*shareLoad
	mu sync.Mutex
	// startedAt is when each host last started, and firstSent when it first sent a retry since.
	startedAt, firstSent map[int]time.Time
	running              sync.WaitGroup
}

// withRestartLoad is withRetryLoad for hosts that restart.
func withRestartLoad(t *testing.T, hosts, later int, body func(l *restartLoad)) {
	t.Helper()
	withRetryLoad(t, hosts, later, func(t *testing.T, shares *shareLoad) {
		l := &restartLoad{shareLoad: shares, startedAt: make(map[int]time.Time), firstSent: make(map[int]time.Time)}
		send := shares.send
		shares.send = func(h *Host) bool {
			sent := send(h)
			if sent {
				l.recordSent(h)
			}
			return sent
		}
		body(l)
		l.running.Wait()
		l.assertShares(t)
	})
}

func (l *restartLoad) recordSent(h *Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.fleet.hosts {
		if _, sent := l.firstSent[i]; !sent && l.fleet.host(i) == h {
			l.firstSent[i] = time.Now()
		}
	}
}

// restart restarts a host while the load goes on, with a planned stop or by a kill.
func (l *restartLoad) restart(i int, kill bool) {
	l.running.Go(func() {
		if kill {
			l.fleet.killAndRestart(i)
		} else {
			l.fleet.restart(i)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.startedAt[i] = time.Now()
		delete(l.firstSent, i)
	})
}

// restartAll restarts all hosts one after the other.
func (l *restartLoad) restartAll(gap time.Duration, kill bool) {
	for i := range l.fleet.hosts {
		l.restart(i, kill)
		l.play(gap)
	}
}

// assertShares checks that all hosts that restarted have sent retries soon after, and that the budget
// was kept.
func (l *restartLoad) assertShares(t *testing.T) {
	t.Helper()
	longest := time.Duration(0)
	for i, at := range l.startedAt {
		lavassert.True(t, fmt.Sprintf("host %d has sent retries since its restart", i), !l.firstSent[i].IsZero())
		longest = max(longest, l.firstSent[i].Sub(at))
	}
	t.Logf("first retry at most %v after a start; at most %d retries in %v, %d allowed", longest, l.most(retryWindow), retryWindow, retryBurst)
	lavassert.AtMost(t, "time from a start until the first retry", longest, restartedShareWait)
	lavassert.AtMost(t, "retries of all hosts in a window", l.most(retryWindow), retryBurst)
}

// TestRestartedHostHasItsShareWithinAWindow guards against hosts that have no retry for long after their start.
func TestRestartedHostHasItsShareWithinAWindow(t *testing.T) {
	type series struct {
		name string
		gap  time.Duration
	}
	ways := []struct {
		name string
		kill bool
	}{{"Planned", false}, {"Killed", true}}
	for _, way := range ways {
		for _, hosts := range []int{smallRetryHosts, retryHosts} {
			t.Run(fmt.Sprintf("OneHost/%s/%d", way.name, hosts), func(t *testing.T) {
				t.Parallel()
				withRestartLoad(t, hosts, 0, func(l *restartLoad) {
					l.play(retryWindow / 2)
					l.restart(hosts/2, way.kill)
					l.play(2 * restartedShareWait)
				})
			})
		}
		for _, s := range []series{{"Each0.5s", 500 * time.Millisecond}, {"Each2s", 2 * time.Second}, {"Each10s", 10 * time.Second}} {
			t.Run(fmt.Sprintf("TwiceOver/%s/%s", way.name, s.name), func(t *testing.T) {
				t.Parallel()
				withRestartLoad(t, smallRetryHosts, 0, func(l *restartLoad) {
					for range 2 {
						l.restartAll(s.gap, way.kill)
					}
					l.play(10 * retryWindow)
				})
			})
		}
	}
}
