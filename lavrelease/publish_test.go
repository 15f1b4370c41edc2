package lavrelease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// publish publishes a note that must succeed.
func publish(t *testing.T, s lavstore.Store, n lavrelease.Note) lavrelease.Version {
	t.Helper()
	v, err := lavrelease.Publish(t.Context(), s, &n)
	lavassert.NoError(t, err)
	return v
}

// addModel is a note that adds a model of that name.
func addModel(base lavrelease.Version, name string) lavrelease.Note {
	return lavrelease.Note{ID: "add-" + name, Base: base, Add: lavrelease.Items{Models: []lavrelease.Model{{Name: name, Version: "1"}}}}
}

func changeModel(base lavrelease.Version, id, name string) lavrelease.Note {
	return lavrelease.Note{ID: id, Base: base, Change: lavrelease.Items{Models: []lavrelease.Model{{Name: name, Version: id}}}}
}

func countKeys(t *testing.T, s lavstore.Store, prefix string) int {
	t.Helper()
	entries, _, err := s.List(t.Context(), prefix)
	lavassert.NoError(t, err)
	return len(entries)
}

// failAt returns a context in which the step fails the first few times.
func failAt(ctx context.Context, step lavstep.Step, times int, fault func() error) context.Context {
	return lavstep.WithProbe(ctx, func(_ context.Context, at lavstep.Step, _ string) error {
		if at != step || times == 0 {
			return nil
		}
		times--
		return fault()
	})
}

var errCrash = errors.New("the process dies here")

func TestPublish(t *testing.T) {
	t.Run("twice is the same as once, also much later", func(t *testing.T) {
		s := lavfake.NewStore()
		lavassert.Equal(t, "version", publish(t, s, firstNote()), 1)
		for v := range lavrelease.Version(50) {
			publish(t, s, addModel(v+1, fmt.Sprintf("m-%d", v)))
		}
		lavassert.Equal(t, "version", publish(t, s, firstNote()), 1)
		state, err := lavrelease.Load(t.Context(), s)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "head", state.Version, 51)
	})
	t.Run("beyond the memory of the head it is a conflict", func(t *testing.T) {
		s := lavfake.NewStore()
		publish(t, s, firstNote())
		for v := range lavrelease.Version(260) {
			publish(t, s, changeModel(v+1, fmt.Sprint(v), "caption"))
		}
		n := firstNote()
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictConflict)
		lavassert.AtMost(t, "notes kept", countKeys(t, s, "release/note/"), 258)
		lavassert.AtMost(t, "chunks kept", countKeys(t, s, "release/chunk/"), 10)
	})
	t.Run("an ID used by another note is refused", func(t *testing.T) {
		s := lavfake.NewStore()
		publish(t, s, firstNote())
		other := addModel(1, "other")
		other.ID = "first"
		_, err := lavrelease.Publish(t.Context(), s, &other)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictRefused)
	})
	t.Run("a wrong note is refused and nothing is written", func(t *testing.T) {
		s := lavfake.NewStore()
		n := changeModel(0, "x", "nothing")
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictRefused)
		lavassert.Equal(t, "keys", countKeys(t, s, ""), 0)
	})
	t.Run("a lost reply is read back", func(t *testing.T) {
		s := lavfake.NewStore()
		s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
		lavassert.Equal(t, "version", publish(t, s, firstNote()), 1)
	})
	t.Run("a store that is down is a failure", func(t *testing.T) {
		s := lavfake.NewStore()
		s.SetFaults(lavfake.StoreFaults{Down: true})
		n := firstNote()
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictFailed)
	})
	t.Run("an outage after the write is unknown until it is over", func(t *testing.T) {
		s := lavfake.NewStore()
		ctx := failAt(t.Context(), lavstep.ReleaseCommit, 1, func() error { return nil })
		lost := &loseHead{Store: s, fake: s}
		n := firstNote()
		_, err := lavrelease.Publish(ctx, lost, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictUnknown)
		s.SetFaults(lavfake.StoreFaults{})
		lavassert.Equal(t, "version", publish(t, s, n), 1)
	})
}

// loseHead loses the reply to the swap of the head, and the store goes down.
type loseHead struct {
	lavstore.Store
	fake *lavfake.Store
}

func (l *loseHead) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	rev, err := l.Store.CompareAndSwap(ctx, key, want, value, lease)
	if !lavrelease.IsHead(key) {
		return rev, err
	}
	l.fake.SetFaults(lavfake.StoreFaults{Down: true})
	return 0, lavstore.ErrOutcomeUnknown
}

func TestConflict(t *testing.T) {
	s := lavfake.NewStore()
	publish(t, s, firstNote())
	publish(t, s, changeModel(1, "theirs", "caption"))
	publish(t, s, addModel(2, "review"))
	t.Run("items that both changed are named", func(t *testing.T) {
		n := changeModel(1, "ours", "caption")
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.ErrorIs(t, err, lavrelease.ErrConflict)
		var conflict *lavrelease.ConflictError
		lavassert.True(t, "it is a ConflictError", errors.As(err, &conflict))
		lavassert.Equal(t, "theirs", fmt.Sprint(conflict.Theirs), "[Change Models caption (version 2, note theirs) Add Models review (version 3, note add-review)]")
		lavassert.Equal(t, "both", fmt.Sprint(conflict.Both), "[Change Models caption (version 2, note theirs)]")
	})
	t.Run("a base ahead of the head can't be compared", func(t *testing.T) {
		n := addModel(9, "x")
		_, err := lavrelease.Publish(t.Context(), s, &n)
		var conflict *lavrelease.ConflictError
		lavassert.True(t, "partial", errors.As(err, &conflict) && conflict.Partial)
	})
}

// TestRace lets operators race, with a crash or a lost reply at every step.
func TestRace(t *testing.T) {
	for _, step := range []lavstep.Step{
		lavstep.None, lavstep.ReleaseReadBack, lavstep.ReleaseNote, lavstep.ReleaseChunk, lavstep.ReleaseCommit,
	} {
		t.Run(step.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { race(t, step) })
		})
	}
}

func race(t *testing.T, crashAt lavstep.Step) {
	const operators = 6
	s := lavfake.NewStore()
	publish(t, s, firstNote())
	var wg sync.WaitGroup
	verdicts := make([]lavrelease.Verdict, operators)
	for i := range operators {
		wg.Go(func() {
			ctx := t.Context()
			if i == 0 {
				ctx = failAt(ctx, crashAt, 1, func() error { return errCrash })
			}
			n := addModel(1, fmt.Sprintf("by-%d", i))
			_, err := lavrelease.Publish(ctx, s, &n)
			verdicts[i] = lavrelease.VerdictOf(err)
		})
	}
	wg.Wait()
	inForce := 0
	for i, v := range verdicts {
		switch v {
		case lavrelease.VerdictInForce:
			inForce++
		case lavrelease.VerdictConflict:
		default:
			lavassert.True(t, fmt.Sprintf("operator %d: %v only by the crash", i, v), i == 0 && crashAt != lavstep.None)
		}
	}
	lavassert.Equal(t, "notes in force", inForce, 1)
	state, err := lavrelease.Load(t.Context(), s)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "version", state.Version, 2)
	lavassert.Equal(t, "models", len(state.Models), 2)
}

func TestSweep(t *testing.T) {
	s := lavfake.NewStore()
	publish(t, s, firstNote())
	crash := failAt(t.Context(), lavstep.ReleaseCommit, 1, func() error { return errCrash })
	orphan := addModel(1, "orphan")
	_, err := lavrelease.Publish(crash, s, &orphan)
	lavassert.ErrorIs(t, err, errCrash)
	t.Run("what a publisher may yet name stays", func(t *testing.T) {
		n, err := lavrelease.Sweep(t.Context(), s, 100)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "deleted", n, 0)
	})
	t.Run("what no head can name goes", func(t *testing.T) {
		for v := range lavrelease.Version(12) {
			publish(t, s, changeModel(v+1, fmt.Sprint(v), "caption"))
		}
		n, err := lavrelease.Sweep(t.Context(), s, 100)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "deleted, a chunk and a note", n, 2)
		_, err = lavrelease.Load(t.Context(), s)
		lavassert.NoError(t, err)
	})
}
