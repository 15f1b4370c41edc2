package lavrelease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstore"
)

// switchableStore forwards calls to a store that a test can replace by an older
// copy.
type switchableStore struct {
	mu sync.Mutex
	lavstore.Store
}

func (s *switchableStore) switchTo(other lavstore.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Store = other
}

func (s *switchableStore) current() lavstore.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Store
}

func (s *switchableStore) Get(ctx context.Context, key string) (lavstore.Entry, error) {
	return s.current().Get(ctx, key)
}

func (s *switchableStore) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	return s.current().CompareAndSwap(ctx, key, want, value, lease)
}

func (s *switchableStore) Watch(ctx context.Context, prefix string, after lavstore.Revision, wait time.Duration) ([]lavstore.Entry, lavstore.Revision, error) {
	return s.current().Watch(ctx, prefix, after, wait)
}

// copyStore returns a new store with the entries of s.
func copyStore(t *testing.T, s lavstore.Store) *lavfake.Store {
	t.Helper()
	entries, _, err := s.List(t.Context(), "")
	lavassert.NoError(t, err)
	fresh := lavfake.NewStore()
	for _, e := range entries {
		_, err := fresh.CompareAndSwap(t.Context(), e.Key, 0, e.Value, "")
		lavassert.NoError(t, err)
	}
	return fresh
}

// startFollower starts a follower that runs until the test ends.
func startFollower(t *testing.T, s lavstore.Store) *lavrelease.Follower {
	t.Helper()
	f := lavrelease.NewFollower(s)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return f
}

func awaitVersion(t *testing.T, want lavrelease.Version, hosts ...*lavrelease.Follower) {
	t.Helper()
	for i, f := range hosts {
		lavassert.Eventually(t, fmt.Sprintf("host %d has version %d", i, want), func() bool { return f.State().Version == want })
	}
}

// assertModels checks that a state contains exactly the given models.
func assertModels(t *testing.T, s *lavrelease.State, want ...string) {
	t.Helper()
	var got []string
	for _, m := range s.Models {
		got = append(got, m.Name)
	}
	lavassert.Equal(t, "models", fmt.Sprint(got), fmt.Sprint(want))
}

func TestFollower(t *testing.T) {
	t.Run("a host applies a release by reading one note", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			publish(t, s, firstNote())
			f := startFollower(t, s)
			awaitVersion(t, 1, f)
			time.Sleep(2 * time.Second)
			before, _ := s.Calls()
			publish(t, s, addModel(1, "review"))
			awaitVersion(t, 2, f)
			after, _ := s.Calls()
			// Publishing reads the head and one chunk. The follower reads one
			// note and starts one more watch.
			lavassert.AtMost(t, "reads", after-before, 4)
			lavassert.AtLeast(t, "bytes of the note cached for peers", len(f.Announcement().Note), 1)
			_, known := f.State().Customer(hash(1))
			lavassert.True(t, "the customer is found", known)
		})
	})
	t.Run("an older state is never adopted", func(t *testing.T) {
		f := lavrelease.NewFollower(lavfake.NewStore())
		s := firstState(t)
		lavassert.True(t, "the first state is adopted", f.Adopt(t.Context(), s))
		lavassert.True(t, "the same state is not adopted again", !f.Adopt(t.Context(), s))
		lavassert.True(t, "an older state is not adopted", !f.Adopt(t.Context(), &lavrelease.State{}))
	})
	t.Run("a newer state that does not descend from the current one is not adopted", func(t *testing.T) {
		f := lavrelease.NewFollower(lavfake.NewStore())
		f.Adopt(t.Context(), firstState(t))
		unrelated := &lavrelease.State{Version: 3, NoteID: "x", Recent: []lavrelease.HistoryEntry{{Version: 2, ID: "y"}, {Version: 1, ID: "z"}}}
		lavassert.True(t, "the unrelated state is not adopted", !f.Adopt(t.Context(), unrelated))
		lavassert.Equal(t, "rejected states", f.RejectedStates(), 1)
	})
}

func TestOlderStore(t *testing.T) {
	// Each case publishes two releases, replaces the store by a copy that lacks
	// the second one, and lets the hosts restore it. The function meanwhile
	// publishes notes to the copy before the hosts see it.
	run := func(t *testing.T, meanwhile func(s lavstore.Store), check func(s *lavrelease.State)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			first := lavfake.NewStore()
			publish(t, first, firstNote())
			older := copyStore(t, first)
			s := &switchableStore{Store: first}
			a, b := startFollower(t, s), startFollower(t, s)
			publish(t, first, addModel(1, "review"))
			awaitVersion(t, 2, a, b)
			meanwhile(older)
			s.switchTo(older)
			first.SetFaults(lavfake.StoreFaults{Down: true})
			fresh := startFollower(t, older)
			time.Sleep(40 * time.Second)
			state, err := lavrelease.Load(t.Context(), older)
			lavassert.NoError(t, err)
			check(state)
			awaitVersion(t, state.Version, a, b, fresh)
			next := addModel(state.Version, "audit")
			lavassert.Equal(t, "version of the next release", publish(t, older, next), state.Version+1)
			awaitVersion(t, state.Version+1, a, b, fresh)
		})
	}
	t.Run("the hosts restore the newer state", func(t *testing.T) {
		run(t, func(lavstore.Store) {}, func(s *lavrelease.State) {
			lavassert.Equal(t, "version", s.Version, 2)
			assertModels(t, s, "caption", "review")
		})
	})
	t.Run("a note published on the older store is merged", func(t *testing.T) {
		run(t, func(older lavstore.Store) { publish(t, older, addModel(1, "lacing")) }, func(s *lavrelease.State) {
			assertModels(t, s, "caption", "review", "lacing")
		})
	})
	t.Run("notes are merged if the older store has reached a higher version", func(t *testing.T) {
		run(t, func(older lavstore.Store) {
			publish(t, older, addModel(1, "x"))
			publish(t, older, addModel(2, "y"))
			publish(t, older, addModel(3, "z"))
		}, func(s *lavrelease.State) {
			assertModels(t, s, "caption", "review", "x", "y", "z")
		})
	})
	t.Run("a note that is not valid in the merged state is recorded as dropped", func(t *testing.T) {
		clash := addModel(1, "review")
		clash.ID = "clash"
		run(t, func(older lavstore.Store) { publish(t, older, clash) }, func(s *lavrelease.State) {
			assertModels(t, s, "caption", "review")
			for _, p := range s.Recent {
				lavassert.Equal(t, "dropped "+p.ID, p.Dropped, p.ID == "clash")
			}
		})
	})
}

func TestGossip(t *testing.T) {
	// pullFrom returns a function that sends pull requests to a peer and counts
	// them.
	pullFrom := func(peer *lavrelease.Follower, count *int) func(context.Context, lavrelease.PullRequest) (lavrelease.PullResponse, error) {
		return func(_ context.Context, p lavrelease.PullRequest) (lavrelease.PullResponse, error) {
			*count++
			return peer.AnswerPull(p), nil
		}
	}
	store := lavfake.NewStore()
	publish(t, store, firstNote())
	peer := lavrelease.NewFollower(store)
	s, err := lavrelease.Load(t.Context(), store)
	lavassert.NoError(t, err)
	peer.Adopt(t.Context(), s)

	down := lavfake.NewStore()
	down.SetFaults(lavfake.StoreFaults{Down: true})
	host := lavrelease.NewFollower(down)
	pulls := 0
	t.Run("a new host pulls the state from a peer while the store is down", func(t *testing.T) {
		lavassert.True(t, "the host is behind the peer", host.HandleAnnouncement(t.Context(), peer.Announcement()))
		lavassert.NoError(t, host.Pull(t.Context(), pullFrom(peer, &pulls)))
		lavassert.Equal(t, "version", host.State().Version, 1)
	})
	t.Run("a host pulls the next releases from a peer", func(t *testing.T) {
		n := addModel(1, "review")
		next, err := lavrelease.Apply(peer.State(), &n)
		lavassert.NoError(t, err)
		third := addModel(2, "audit")
		last, err := lavrelease.Apply(next, &third)
		lavassert.NoError(t, err)
		peer.Adopt(t.Context(), next)
		lavassert.NoError(t, host.Pull(t.Context(), pullFrom(peer, &pulls)))
		peer.Adopt(t.Context(), last)
		lavassert.NoError(t, host.Pull(t.Context(), pullFrom(peer, &pulls)))
		lavassert.Equal(t, "version", host.State().Version, 3)
	})
	t.Run("a large state is transferred in parts", func(t *testing.T) {
		large := *peer.State()
		large.Recent = append([]lavrelease.HistoryEntry{{Version: large.Version, ID: large.NoteID}}, large.Recent...)
		large.Version, large.NoteID = 4, "large"
		for i := range 16_000 {
			large.Customers = append(large.Customers, lavrelease.Customer{Name: fmt.Sprint("c-", i), Share: 1, Credentials: []string{hash(i + 2)}})
		}
		peer.Adopt(t.Context(), &large)
		pulls = 0
		lavassert.NoError(t, host.Pull(t.Context(), pullFrom(peer, &pulls)))
		lavassert.Equal(t, "version", host.State().Version, 4)
		lavassert.AtLeast(t, "pull requests", pulls, 3)
		c, ok := host.State().Customer(hash(15_000))
		lavassert.True(t, "the customer is found", ok && c.Name == "c-14998")
	})
	t.Run("a state that does not match its digest is refused", func(t *testing.T) {
		other := lavrelease.NewFollower(down)
		err := other.Pull(t.Context(), func(_ context.Context, p lavrelease.PullRequest) (lavrelease.PullResponse, error) {
			part := peer.AnswerPull(p)
			part.Digest = hash(0)
			part.PartCount, part.PartIndex = 1, 0
			return part, nil
		})
		lavassert.True(t, "Pull returns an error", err != nil)
		lavassert.Equal(t, "version", other.State().Version, 0)
	})
}

func BenchmarkCustomer(b *testing.B) {
	s := &lavrelease.State{Version: 1, NoteID: "large"}
	for i := range 16_000 {
		s.Customers = append(s.Customers, lavrelease.Customer{Name: fmt.Sprint("c-", i), Share: 1, Credentials: []string{hash(i)}})
	}
	f := lavrelease.NewFollower(lavfake.NewStore())
	f.Adopt(b.Context(), s)
	b.Run("adopted", func(b *testing.B) {
		for b.Loop() {
			f.State().Customer(hash(9000))
		}
	})
	b.Run("searched", func(b *testing.B) {
		for b.Loop() {
			s.Customer(hash(9000))
		}
	})
}
