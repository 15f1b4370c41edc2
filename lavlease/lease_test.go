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

// mustAcquire acquires a lease and fails the test if it can't.
func mustAcquire(t *testing.T, s lavstore.Store, holder string) *lavlease.Lease {
	t.Helper()
	l, err := lavlease.Acquire(t.Context(), s, "planner", holder, ttl)
	lavassert.NoError(t, err)
	return l
}

// withStore runs body with an empty store in virtual time.
func withStore(t *testing.T, body func(t *testing.T, s *lavfake.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(t, lavfake.NewStore()) })
}

func TestLease(t *testing.T) {
	t.Run("one holder at a time, with increasing fencing tokens", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			a := mustAcquire(t, s, "a")
			_, err := lavlease.Acquire(t.Context(), s, "planner", "b", ttl)
			lavassert.ErrorIs(t, err, lavlease.ErrHeld)
			lavassert.NoError(t, a.Release(t.Context()))
			lavassert.True(t, "a released lease is not valid", !a.Valid(time.Now()))
			b := mustAcquire(t, s, "b")
			lavassert.True(t, "the fencing token increases", b.Fence() > a.Fence())
		})
	})
	t.Run("a paused holder's lease becomes invalid before another holder can acquire it", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			a := mustAcquire(t, s, "a")
			for a.Valid(time.Now()) {
				_, err := lavlease.Acquire(t.Context(), s, "planner", "b", ttl)
				lavassert.ErrorIs(t, err, lavlease.ErrHeld)
				time.Sleep(100 * time.Millisecond)
			}
			lavassert.Eventually(t, "the lease expires", func() bool {
				_, err := lavlease.Acquire(t.Context(), s, "planner", "b", ttl)
				return err == nil
			})
			lavassert.ErrorIs(t, a.Renew(t.Context()), lavlease.ErrLost)
		})
	})
	t.Run("the validity after a slow renewal is counted from the request", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			a := mustAcquire(t, s, "a")
			requestedAt := time.Now()
			s.SetFaults(lavfake.StoreFaults{Delay: 4 * time.Second})
			lavassert.NoError(t, a.Renew(t.Context()))
			lavassert.True(t, "the validity ends within the TTL of the request", !a.ValidUntil().After(requestedAt.Add(ttl)))
		})
	})
	t.Run("a renewal without a reply doesn't extend the validity", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			a := mustAcquire(t, s, "a")
			before := a.ValidUntil()
			time.Sleep(time.Second)
			s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			lavassert.ErrorIs(t, a.Renew(t.Context()), lavstore.ErrOutcomeUnknown)
			lavassert.Equal(t, "valid until", a.ValidUntil(), before)
		})
	})
	t.Run("a grant whose reply was lost doesn't block other holders beyond its TTL", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			_, err := lavlease.Acquire(t.Context(), s, "planner", "a", ttl)
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			s.SetFaults(lavfake.StoreFaults{})
			mustAcquire(t, s, "b")
			time.Sleep(ttl + time.Second)
			lavassert.AtMost(t, "leases in the store", s.Leases(), 0)
		})
	})
	t.Run("the outcome of other writes without a reply is read back", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			a := mustAcquire(t, &replyLosingStore{Store: s}, "a")
			lavassert.Equal(t, "fencing token", a.Fence(), 1)
		})
	})
	t.Run("one of many concurrent callers acquires the lease, and no fencing token is issued twice", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			seenFences := make(map[uint64]bool)
			for range 5 {
				var mu sync.Mutex
				var wg sync.WaitGroup
				var acquired []*lavlease.Lease
				for range 20 {
					wg.Go(func() {
						l, err := lavlease.Acquire(t.Context(), s, "planner", "x", ttl)
						if err != nil {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						acquired = append(acquired, l)
					})
				}
				wg.Wait()
				lavassert.Equal(t, "holders", len(acquired), 1)
				for _, l := range acquired {
					lavassert.True(t, "the fencing token is new", !seenFences[l.Fence()])
					seenFences[l.Fence()] = true
					lavassert.NoError(t, l.Release(t.Context()))
				}
			}
		})
	})
}

// replyLosingStore applies each compare-and-swap but reports its outcome as
// unknown.
type replyLosingStore struct{ lavstore.Store }

func (l *replyLosingStore) CompareAndSwap(ctx context.Context, key string, expected lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	if _, err := l.Store.CompareAndSwap(ctx, key, expected, value, lease); err != nil {
		return 0, err
	}
	return 0, lavstore.ErrOutcomeUnknown
}
