package lavlease_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavlease"
	"lavenderrack.example/lavenderrack/lavstore"
)

const ttl = 10 * time.Second

// acquire takes a lease that must be free.
func acquire(t *testing.T, s lavstore.Store, holder string) *lavlease.Lease {
	t.Helper()
	l, err := lavlease.Acquire(t.Context(), s, "planner", holder, ttl)
	lavassert.NoError(t, err)
	return l
}

// inBubble runs body with an empty store in virtual time.
func inBubble(t *testing.T, body func(t *testing.T, s *lavfake.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(t, lavfake.NewStore()) })
}

func TestLease(t *testing.T) {
	t.Run("one holder at a time, with rising numbers", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			a := acquire(t, s, "a")
			_, err := lavlease.Acquire(t.Context(), s, "planner", "b", ttl)
			lavassert.ErrorIs(t, err, lavlease.ErrHeld)
			lavassert.NoError(t, a.Release(t.Context()))
			lavassert.True(t, "a released lease is not valid", !a.Valid(time.Now()))
			b := acquire(t, s, "b")
			lavassert.True(t, "the number rises", b.Fence() > a.Fence())
		})
	})
	t.Run("a paused holder stops believing before the store gives the lease away", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			a := acquire(t, s, "a")
			for a.Valid(time.Now()) {
				_, err := lavlease.Acquire(t.Context(), s, "planner", "b", ttl)
				lavassert.ErrorIs(t, err, lavlease.ErrHeld)
				time.Sleep(100 * time.Millisecond)
			}
			lavassert.Eventually(t, "the lease lapses", func() bool {
				_, err := lavlease.Acquire(t.Context(), s, "planner", "b", ttl)
				return err == nil
			})
			lavassert.ErrorIs(t, a.Renew(t.Context()), lavlease.ErrLost)
		})
	})
	t.Run("a holder that was slow to renew counts from before it asked", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			a := acquire(t, s, "a")
			asked := time.Now()
			s.SetFaults(lavfake.StoreFaults{Delay: 4 * time.Second})
			lavassert.NoError(t, a.Renew(t.Context()))
			lavassert.True(t, "not counted from the reply", !a.ValidUntil().After(asked.Add(ttl)))
		})
	})
	t.Run("a renewal without a reply doesn't extend the belief", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			a := acquire(t, s, "a")
			before := a.ValidUntil()
			time.Sleep(time.Second)
			s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			lavassert.ErrorIs(t, a.Renew(t.Context()), lavstore.ErrOutcomeUnknown)
			lavassert.Equal(t, "until", a.ValidUntil(), before)
		})
	})
	t.Run("a grant whose reply was lost holds nobody up for longer than it lives", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			_, err := lavlease.Acquire(t.Context(), s, "planner", "a", ttl)
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			s.SetFaults(lavfake.StoreFaults{})
			acquire(t, s, "b")
			time.Sleep(ttl + time.Second)
			lavassert.AtMost(t, "leases", s.Leases(), 0)
		})
	})
	t.Run("lost replies of the other writes are read back", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			a := acquire(t, &losing{Store: s}, "a")
			lavassert.Equal(t, "number", a.Fence(), 1)
		})
	})
	t.Run("of many who ask at one time one gets it, and no number is given twice", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *lavfake.Store) {
			numbers := make(map[uint64]bool)
			for range 5 {
				var mu sync.Mutex
				var wg sync.WaitGroup
				var held []*lavlease.Lease
				for range 20 {
					wg.Go(func() {
						l, err := lavlease.Acquire(t.Context(), s, "planner", "x", ttl)
						if err != nil {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						held = append(held, l)
					})
				}
				wg.Wait()
				lavassert.Equal(t, "holders", len(held), 1)
				for _, l := range held {
					lavassert.True(t, "the number is new", !numbers[l.Fence()])
					numbers[l.Fence()] = true
					lavassert.NoError(t, l.Release(t.Context()))
				}
			}
		})
	})
}

// losing loses the reply of each swap.
type losing struct{ lavstore.Store }

func (l *losing) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	if _, err := l.Store.CompareAndSwap(ctx, key, want, value, lease); err != nil {
		return 0, err
	}
	return 0, lavstore.ErrOutcomeUnknown
}
