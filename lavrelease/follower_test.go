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

// switched is a store that can be put back to an older one.
type switched struct {
	mu sync.Mutex
	lavstore.Store
}

func (s *switched) to(other lavstore.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Store = other
}

func (s *switched) at() lavstore.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Store
}

func (s *switched) Get(ctx context.Context, key string) (lavstore.Entry, error) {
	return s.at().Get(ctx, key)
}

func (s *switched) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	return s.at().CompareAndSwap(ctx, key, want, value, lease)
}

func (s *switched) Watch(ctx context.Context, prefix string, after lavstore.Revision, wait time.Duration) ([]lavstore.Entry, lavstore.Revision, error) {
	return s.at().Watch(ctx, prefix, after, wait)
}

// copyStore returns a store with the same entries.
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

// follow runs a follower until the test ends.
func follow(t *testing.T, s lavstore.Store) *lavrelease.Follower {
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

// assertModels checks that a state has exactly these models.
func assertModels(t *testing.T, s *lavrelease.State, want ...string) {
	t.Helper()
	var got []string
	for _, m := range s.Models {
		got = append(got, m.Name)
	}
	lavassert.Equal(t, "models", fmt.Sprint(got), fmt.Sprint(want))
}

func TestFollower(t *testing.T) {
	t.Run("a host follows by notes, at one read for each", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := lavfake.NewStore()
			publish(t, s, firstNote())
			f := follow(t, s)
			awaitVersion(t, 1, f)
			time.Sleep(2 * time.Second)
			before, _ := s.Calls()
			publish(t, s, addModel(1, "review"))
			awaitVersion(t, 2, f)
			after, _ := s.Calls()
			// Publishing reads the head and one chunk; following reads one
			// note and begins one more watch.
			lavassert.AtMost(t, "reads", after-before, 4)
			lavassert.AtLeast(t, "bytes of the note held for peers", len(f.Announcement().Note), 1)
			_, known := f.State().Customer(hash(1))
			lavassert.True(t, "the customer is found", known)
		})
	})
	t.Run("an older state is never adopted", func(t *testing.T) {
		f := lavrelease.NewFollower(lavfake.NewStore())
		s := firstState(t)
		lavassert.True(t, "the first is", f.Adopt(t.Context(), s))
		lavassert.True(t, "the same isn't", !f.Adopt(t.Context(), s))
		lavassert.True(t, "an older one isn't", !f.Adopt(t.Context(), &lavrelease.State{}))
	})
	t.Run("a newer state that lacks a release is not adopted", func(t *testing.T) {
		f := lavrelease.NewFollower(lavfake.NewStore())
		f.Adopt(t.Context(), firstState(t))
		stranger := &lavrelease.State{Version: 3, NoteID: "x", Recent: []lavrelease.HistoryEntry{{Version: 2, ID: "y"}, {Version: 1, ID: "z"}}}
		lavassert.True(t, "refused", !f.Adopt(t.Context(), stranger))
		lavassert.Equal(t, "counted", f.Refused(), 1)
	})
}

func TestOlderStore(t *testing.T) {
	// Each case publishes two releases, puts the store back to the first, and
	// lets the hosts mend it; meanwhile is what operators do before they can.
	run := func(t *testing.T, meanwhile func(s lavstore.Store), check func(s *lavrelease.State)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			first := lavfake.NewStore()
			publish(t, first, firstNote())
			older := copyStore(t, first)
			s := &switched{Store: first}
			a, b := follow(t, s), follow(t, s)
			publish(t, first, addModel(1, "review"))
			awaitVersion(t, 2, a, b)
			meanwhile(older)
			s.to(older)
			first.SetFaults(lavfake.StoreFaults{Down: true})
			fresh := follow(t, older)
			time.Sleep(40 * time.Second)
			state, err := lavrelease.Load(t.Context(), older)
			lavassert.NoError(t, err)
			check(state)
			awaitVersion(t, state.Version, a, b, fresh)
			next := addModel(state.Version, "audit")
			lavassert.Equal(t, "the next release", publish(t, older, next), state.Version+1)
			awaitVersion(t, state.Version+1, a, b, fresh)
		})
	}
	t.Run("the hosts put the newer state back", func(t *testing.T) {
		run(t, func(lavstore.Store) {}, func(s *lavrelease.State) {
			lavassert.Equal(t, "version", s.Version, 2)
			assertModels(t, s, "caption", "review")
		})
	})
	t.Run("a note published meanwhile is kept", func(t *testing.T) {
		run(t, func(older lavstore.Store) { publish(t, older, addModel(1, "lacing")) }, func(s *lavrelease.State) {
			assertModels(t, s, "caption", "review", "lacing")
		})
	})
	t.Run("also if the older store has overtaken", func(t *testing.T) {
		run(t, func(older lavstore.Store) {
			publish(t, older, addModel(1, "x"))
			publish(t, older, addModel(2, "y"))
			publish(t, older, addModel(3, "z"))
		}, func(s *lavrelease.State) {
			assertModels(t, s, "caption", "review", "x", "y", "z")
		})
	})
	t.Run("a note that no longer fits is dropped and not said to be in force", func(t *testing.T) {
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
	// ask answers pulls from a peer and counts them.
	ask := func(peer *lavrelease.Follower, count *int) func(context.Context, lavrelease.PullRequest) (lavrelease.PullResponse, error) {
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
	t.Run("a new host gets the state from a peer while the store is down", func(t *testing.T) {
		lavassert.True(t, "it is behind", host.HandleAnnouncement(t.Context(), peer.Announcement()))
		lavassert.NoError(t, host.Pull(t.Context(), ask(peer, &pulls)))
		lavassert.Equal(t, "version", host.State().Version, 1)
	})
	t.Run("a note is enough for the next release", func(t *testing.T) {
		n := addModel(1, "review")
		next, err := lavrelease.Apply(peer.State(), &n)
		lavassert.NoError(t, err)
		third := addModel(2, "audit")
		last, err := lavrelease.Apply(next, &third)
		lavassert.NoError(t, err)
		peer.Adopt(t.Context(), next)
		lavassert.NoError(t, host.Pull(t.Context(), ask(peer, &pulls)))
		peer.Adopt(t.Context(), last)
		lavassert.NoError(t, host.Pull(t.Context(), ask(peer, &pulls)))
		lavassert.Equal(t, "version", host.State().Version, 3)
	})
	t.Run("a large state comes in parts", func(t *testing.T) {
		large := *peer.State()
		large.Recent = append([]lavrelease.HistoryEntry{{Version: large.Version, ID: large.NoteID}}, large.Recent...)
		large.Version, large.NoteID = 4, "large"
		for i := range 16_000 {
			large.Customers = append(large.Customers, lavrelease.Customer{Name: fmt.Sprint("c-", i), Share: 1, Credentials: []string{hash(i + 2)}})
		}
		peer.Adopt(t.Context(), &large)
		pulls = 0
		lavassert.NoError(t, host.Pull(t.Context(), ask(peer, &pulls)))
		lavassert.Equal(t, "version", host.State().Version, 4)
		lavassert.AtLeast(t, "parts", pulls, 3)
		c, ok := host.State().Customer(hash(15_000))
		lavassert.True(t, "the customer is found", ok && c.Name == "c-14998")
	})
	t.Run("a false digest is refused", func(t *testing.T) {
		other := lavrelease.NewFollower(down)
		err := other.Pull(t.Context(), func(_ context.Context, p lavrelease.PullRequest) (lavrelease.PullResponse, error) {
			part := peer.AnswerPull(p)
			part.Digest = hash(0)
			part.Parts, part.Part = 1, 0
			return part, nil
		})
		lavassert.True(t, "an error", err != nil)
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
