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

func guard(s lavstore.Store, hosts int) *lavstore.Guard {
	return lavstore.NewGuard(s, lavstore.DefaultLimits(), func() int { return hosts }, tally.NoopScope)
}

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	var b lavstore.Breaker
	fail := func() { b.Record(now, false, 0.5, 6) }
	t.Run("one lost reply doesn't open it", func(t *testing.T) {
		fail()
		fail()
		lavassert.True(t, "allowed", b.Allow(now))
		b.Record(now, true, 0, 6)
	})
	t.Run("a run of failures does", func(t *testing.T) {
		for range 3 {
			fail()
		}
		lavassert.Equal(t, "phase", b.Phase(), lavstore.BreakerOpen)
		lavassert.True(t, "refused", !b.Allow(now))
	})
	t.Run("one probe goes out, and its failure doubles the pause", func(t *testing.T) {
		now = now.Add(250 * time.Millisecond)
		lavassert.True(t, "the probe is allowed", b.Allow(now))
		lavassert.True(t, "a second isn't", !b.Allow(now))
		fail()
		lavassert.True(t, "not after the first pause", !b.Allow(now.Add(400*time.Millisecond)))
		lavassert.True(t, "but after twice that", b.Allow(now.Add(500*time.Millisecond)))
	})
	t.Run("its success closes it", func(t *testing.T) {
		b.Record(now, true, 0, 6)
		lavassert.Equal(t, "phase", b.Phase(), lavstore.BreakerClosed)
	})
	t.Run("the pause is bounded by the size of the fleet", func(t *testing.T) {
		for range 40 {
			b.Record(now, false, 1, 430)
			now = now.Add(time.Hour)
			b.Allow(now)
		}
		b.Record(now, false, 1, 430)
		lavassert.True(t, "at most 1.5 times 4.3 s", b.Allow(now.Add(6450*time.Millisecond)))
	})
}

func TestGuard(t *testing.T) {
	const minute = 60
	t.Run("a host of 430 keeps to its part", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			g := guard(s, 430)
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
	t.Run("one part can't starve another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := guard(lavfake.NewStore(), 430)
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
	t.Run("a slow store is bounded in time and a write is unknown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			s.SetFaults(lavfake.StoreFaults{Delay: time.Hour})
			g := guard(s, 6)
			began := time.Now()
			_, err := g.Get(t.Context(), "k")
			lavassert.ErrorIs(t, err, lavstore.ErrUnavailable)
			_, err = g.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			lavassert.Equal(t, "time", time.Since(began), 4*time.Second)
		})
	})
	t.Run("a waiting watch is no failure", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := guard(lavfake.NewStore(), 6)
			// A watch after a revision that the store hasn't reached is answered
			// at once, since the store may have come back older.
			revision, err := g.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.NoError(t, err)
			began := time.Now()
			_, _, err = g.Watch(t.Context(), "k", revision, time.Minute)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "time", time.Since(began), time.Minute)
		})
	})
}

// grantOrPause makes a call, and pauses if the guard refuses it.
func grantOrPause(ctx context.Context, s lavstore.Store) {
	if _, err := s.Grant(ctx, time.Minute); err != nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// TestReturn lets a whole fleet meet an outage: each host follows two prefixes
// and renews a lease. It holds the busiest second of the return to the
// service's rates, and shows that hosts without a guard break them.
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
			reads, writes = busiest(s, 20)
			cancel()
			wg.Wait()
			synctest.Wait()
		})
		return reads, writes
	}
	t.Run("with guards", func(t *testing.T) {
		reads, writes := run(t, func(s lavstore.Store) lavstore.Store { return guard(s, hosts) })
		t.Logf("busiest second: %d reads, %d writes", reads, writes)
		lavassert.AtMost(t, "reads", reads, readRate)
		lavassert.AtMost(t, "writes", writes, writeRate)
	})
	t.Run("without", func(t *testing.T) {
		reads, writes := run(t, func(s lavstore.Store) lavstore.Store { return s })
		t.Logf("busiest second: %d reads, %d writes", reads, writes)
		lavassert.True(t, "the rates are broken", reads > readRate || writes > writeRate)
	})
}

func follow(ctx context.Context, s lavstore.Store, prefix string) {
	spacing := func() time.Duration { return time.Second }
	_ = lavstore.Follow(ctx, s, prefix, spacing, func(context.Context, []lavstore.Entry) error { return nil })
}

// keepLease renews a lease every 5 s, tries again after 500 ms on errors, and
// writes a key under each new lease.
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

// busiest returns the most reads and writes of any of the next seconds.
func busiest(s *lavfake.Store, seconds int) (reads, writes int) {
	lastReads, lastWrites := s.Calls()
	for range seconds {
		time.Sleep(time.Second)
		r, w := s.Calls()
		reads, writes = max(reads, r-lastReads), max(writes, w-lastWrites)
		lastReads, lastWrites = r, w
	}
	return reads, writes
}
