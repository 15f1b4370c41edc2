package lavstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/uber-go/tally/v4"
)

func newGuard(s lavstore.Store, hosts int) *lavstore.Guard {
	return lavstore.NewGuard(s, lavstore.DefaultLimits(), func() int { return hosts }, tally.NoopScope)
}

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	var b lavstore.Breaker
	fail := func() { b.Record(now, false, 0.5, 6) }
	t.Run("two failures do not open the breaker", func(t *testing.T) {
		fail()
		fail()
		lavassert.True(t, "allowed", b.Allow(now))
		b.Record(now, true, 0, 6)
	})
	t.Run("three consecutive failures open the breaker", func(t *testing.T) {
		for range 3 {
			fail()
		}
		lavassert.Equal(t, "phase", b.Phase(), lavstore.BreakerOpen)
		lavassert.True(t, "refused", !b.Allow(now))
	})
	t.Run("one probe is allowed and its failure doubles the backoff", func(t *testing.T) {
		now = now.Add(250 * time.Millisecond)
		lavassert.True(t, "the probe is allowed", b.Allow(now))
		lavassert.True(t, "a second probe is refused", !b.Allow(now))
		fail()
		lavassert.True(t, "refused after the first backoff", !b.Allow(now.Add(400*time.Millisecond)))
		lavassert.True(t, "allowed after twice the first backoff", b.Allow(now.Add(500*time.Millisecond)))
	})
	t.Run("a successful probe closes the breaker", func(t *testing.T) {
		b.Record(now, true, 0, 6)
		lavassert.Equal(t, "phase", b.Phase(), lavstore.BreakerClosed)
	})
	t.Run("the maximum backoff grows with the size of the fleet", func(t *testing.T) {
		for range 40 {
			b.Record(now, false, 1, 430)
			now = now.Add(time.Hour)
			b.Allow(now)
		}
		b.Record(now, false, 1, 430)
		lavassert.True(t, "allowed after 1.5 times 4.3 s", b.Allow(now.Add(6450*time.Millisecond)))
	})
}

func TestGuard(t *testing.T) {
	const minute = 60
	t.Run("one of 430 hosts keeps to its share of the write rate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			g := newGuard(s, 430)
			ctx, cancel := context.WithTimeout(t.Context(), minute*time.Second)
			defer cancel()
			for ctx.Err() == nil {
				grantOrPause(ctx, g)
			}
			_, writes := s.Calls()
			lavassert.AtMost(t, "writes in a minute", writes, 400*minute/430+16)
			lavassert.AtLeast(t, "writes in a minute", writes, 400*minute/430)
		})
	})
	t.Run("one share cannot starve another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGuard(lavfake.NewStore(), 430)
			control, ledger := g.WithShare(0.5), g.WithShare(0.5)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			for ctx.Err() == nil {
				grantOrPause(ctx, ledger)
			}
			_, err := control.Grant(t.Context(), time.Minute)
			lavassert.NoError(t, err)
		})
	})
	t.Run("calls to a slow store time out and the outcome of a write is unknown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			s.SetFaults(lavfake.StoreFaults{Delay: time.Hour})
			g := newGuard(s, 6)
			began := time.Now()
			_, err := g.Get(t.Context(), "k")
			lavassert.ErrorIs(t, err, lavstore.ErrUnavailable)
			_, err = g.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			lavassert.Equal(t, "time", time.Since(began), 4*time.Second)
		})
	})
	t.Run("a watch that waits is not a failure", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGuard(lavfake.NewStore(), 6)
			// A watch that starts after a revision that the store has not
			// reached yet returns immediately, because the store may have been
			// restored from an older backup.
			revision, err := g.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.NoError(t, err)
			began := time.Now()
			_, _, err = g.Watch(t.Context(), "k", revision, time.Minute)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "time", time.Since(began), time.Minute)
		})
	})
}

// grantOrPause requests a lease, and pauses if the guard rejects the call.
func grantOrPause(ctx context.Context, s lavstore.Store) {
	if _, err := s.Grant(ctx, time.Minute); err != nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// TestReturn simulates an outage of the store for a whole fleet, in which each
// host follows two prefixes and renews a lease. In the busiest second of the
// recovery, hosts with guards keep to the service's rates, and hosts without
// guards exceed them.
func TestReturn(t *testing.T) {
	const hosts, readRate, writeRate = 430, 2000, 500
	run := func(t *testing.T, wrap func(lavstore.Store) lavstore.Store) (reads, writes int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			for i := range hosts {
				own := wrap(s)
				for _, prefix := range []string{"release/head", "member/"} {
					wg.Go(func() { follow(ctx, own, prefix) })
				}
				wg.Go(func() { keepLease(ctx, own, i) })
			}
			time.Sleep(20 * time.Second)
			s.SetFaults(lavfake.StoreFaults{Down: true})
			time.Sleep(2 * time.Minute)
			s.SetFaults(lavfake.StoreFaults{})
			reads, writes = busiestSecond(s, 20)
			cancel()
			wg.Wait()
			synctest.Wait()
		})
		return reads, writes
	}
	t.Run("with guards", func(t *testing.T) {
		reads, writes := run(t, func(s lavstore.Store) lavstore.Store { return newGuard(s, hosts) })
		t.Logf("busiest second: %d reads, %d writes", reads, writes)
		lavassert.AtMost(t, "reads", reads, readRate)
		lavassert.AtMost(t, "writes", writes, writeRate)
	})
	t.Run("without guards", func(t *testing.T) {
		reads, writes := run(t, func(s lavstore.Store) lavstore.Store { return s })
		t.Logf("busiest second: %d reads, %d writes", reads, writes)
		lavassert.True(t, "the rates are exceeded", reads > readRate || writes > writeRate)
	})
}

func follow(ctx context.Context, s lavstore.Store, prefix string) {
	spacing := func() time.Duration { return time.Second }
	_ = lavstore.Follow(ctx, s, prefix, spacing, func(context.Context, []lavstore.Entry) error { return nil })
}

// keepLease renews a lease every 5 s, retries 500 ms after an error, and writes
// a key under each new lease.
func keepLease(ctx context.Context, s lavstore.Store, host int) {
	var lease lavstore.LeaseID
	for ctx.Err() == nil {
		err := s.Renew(ctx, lease)
		if err != nil {
			if lease, err = s.Grant(ctx, 15*time.Second); err == nil {
				_, err = s.CompareAndSwap(ctx, fmt.Sprintf("member/%d/%s", host, lease), 0, nil, lease)
			}
		}
		wait := 5 * time.Second
		if err != nil {
			wait = 500 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// busiestSecond returns the highest numbers of reads and of writes in any one of
// the next seconds.
func busiestSecond(s *lavfake.Store, seconds int) (reads, writes int) {
	lastReads, lastWrites := s.Calls()
	for range seconds {
		time.Sleep(time.Second)
		r, w := s.Calls()
		reads, writes = max(reads, r-lastReads), max(writes, w-lastWrites)
		lastReads, lastWrites = r, w
	}
	return reads, writes
}
