package lavfake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavstore"
)

// withStore runs body with an empty store in a synctest bubble.
func withStore(t *testing.T, body func(t *testing.T, s *lavfake.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(t, lavfake.NewStore()) })
}

func put(t *testing.T, s lavstore.Store, key string, want lavstore.Revision, lease lavstore.LeaseID) lavstore.Revision {
	t.Helper()
	revision, err := s.CompareAndSwap(t.Context(), key, want, []byte("value"), lease)
	lavassert.NoError(t, err)
	return revision
}

func TestStoreFaults(t *testing.T) {
	t.Run("a write whose reply is lost takes effect", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			_, err := s.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			_, err = s.Get(t.Context(), "k")
			lavassert.NoError(t, err)
		})
	})
	t.Run("a late write takes effect after its reply", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			s.SetFaults(lavfake.StoreFaults{LateWriteDelay: time.Second})
			_, err := s.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			_, err = s.Get(t.Context(), "k")
			lavassert.ErrorIs(t, err, lavstore.ErrNotFound)
			time.Sleep(2 * time.Second)
			_, err = s.Get(t.Context(), "k")
			lavassert.NoError(t, err)
		})
	})
	t.Run("calls that exceed the rate limit are refused and have no effect", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			s.SetRateLimits(10, 2)
			put(t, s, "a", 0, "")
			put(t, s, "b", 0, "")
			_, err := s.CompareAndSwap(t.Context(), "c", 0, nil, "")
			lavassert.ErrorIs(t, err, lavstore.ErrUnavailable)
			lavassert.Equal(t, "refused calls", s.Counts().Refused, 1)
			time.Sleep(time.Second)
			put(t, s, "c", 0, "")
		})
	})
	t.Run("a watch returns at once if the store was restored to an older revision", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			oldRevision := put(t, s, "k", 0, "")
			backup := s.Snapshot()
			newRevision := put(t, s, "k", oldRevision, "")
			s.Restore(backup)
			found, revision, err := s.Watch(t.Context(), "k", newRevision, time.Hour)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "store revision", revision, oldRevision)
			lavassert.Equal(t, "entry revision", found[0].Revision, oldRevision)
		})
	})
}

func TestStoreWatch(t *testing.T) {
	t.Run("reports the expiry of a lease between two watches", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			lease, err := s.Grant(t.Context(), 10*time.Second)
			lavassert.NoError(t, err)
			after := put(t, s, "member/a", 0, lease)
			time.Sleep(11 * time.Second)
			found, _, err := s.Watch(t.Context(), "member/", after, time.Hour)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "entries", len(found), 0)
			lavassert.ErrorIs(t, s.Renew(t.Context(), lease), lavstore.ErrLeaseGone)
		})
	})
	t.Run("returns after its wait time", func(t *testing.T) {
		withStore(t, func(t *testing.T, s *lavfake.Store) {
			after := put(t, s, "k", 0, "")
			start := time.Now()
			_, _, err := s.Watch(t.Context(), "k", after, time.Minute)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "wait time", time.Since(start), time.Minute)
		})
	})
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := lavfake.NewLaggingHostList(time.Second)
		h.Set(lavendpoint.HostState{Name: "a"})
		time.Sleep(time.Second)
		h.Set(lavendpoint.HostState{Name: "a", Leaving: true})
		lavassert.True(t, "host is not leaving before the lag", !h.Hosts()[0].Leaving)
		time.Sleep(time.Second)
		lavassert.True(t, "host is leaving after the lag", h.Hosts()[0].Leaving)
	})
}
