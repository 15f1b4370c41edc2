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

// publish publishes a note. The test fails if Publish returns an error.
func publish(t *testing.T, s lavstore.Store, n lavrelease.Note) lavrelease.Version {
	t.Helper()
	v, err := lavrelease.Publish(t.Context(), s, &n)
	lavassert.NoError(t, err)
	return v
}

// addModel returns a note that adds a model with the given name.
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

// failAt returns a context in which step fails with the error of fault, the
// given number of times.
func failAt(ctx context.Context, step lavstep.Step, times int, fault func() error) context.Context {
	return lavstep.WithFaultInjector(ctx, func(_ context.Context, at lavstep.Step, _ string) error {
		if at != step || times == 0 {
			return nil
		}
		times--
		return fault()
	})
}

var errCrash = errors.New("simulated crash")

func TestPublish(t *testing.T) {
	t.Run("publishing a note again returns its version, also 50 releases later", func(t *testing.T) {
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
	t.Run("publishing a note again that is no longer in the history is a conflict", func(t *testing.T) {
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
	t.Run("an invalid note is refused and nothing is written", func(t *testing.T) {
		s := lavfake.NewStore()
		n := changeModel(0, "x", "nothing")
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictRefused)
		lavassert.Equal(t, "keys", countKeys(t, s, ""), 0)
	})
	t.Run("a write whose reply is lost is read back", func(t *testing.T) {
		s := lavfake.NewStore()
		s.SetFaults(lavfake.StoreFaults{LoseReplies: true})
		lavassert.Equal(t, "version", publish(t, s, firstNote()), 1)
	})
	t.Run("publishing fails while the store is down", func(t *testing.T) {
		s := lavfake.NewStore()
		s.SetFaults(lavfake.StoreFaults{Down: true})
		n := firstNote()
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictFailed)
	})
	t.Run("the verdict is unknown if the store goes down after the write", func(t *testing.T) {
		s := lavfake.NewStore()
		ctx := failAt(t.Context(), lavstep.ReleaseCommit, 1, func() error { return nil })
		dropper := &headReplyDropper{Store: s, fake: s}
		n := firstNote()
		_, err := lavrelease.Publish(ctx, dropper, &n)
		lavassert.Equal(t, "verdict", lavrelease.VerdictOf(err), lavrelease.VerdictUnknown)
		s.SetFaults(lavfake.StoreFaults{})
		lavassert.Equal(t, "version", publish(t, s, n), 1)
	})
}

// headReplyDropper drops the reply to the compare-and-swap of the head and then
// takes the store down.
type headReplyDropper struct {
	lavstore.Store
	fake *lavfake.Store
}

func (l *headReplyDropper) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	rev, err := l.Store.CompareAndSwap(ctx, key, want, value, lease)
	if !lavrelease.IsHeadKey(key) {
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
	t.Run("the error lists items that both notes changed", func(t *testing.T) {
		n := changeModel(1, "ours", "caption")
		_, err := lavrelease.Publish(t.Context(), s, &n)
		lavassert.ErrorIs(t, err, lavrelease.ErrConflict)
		var conflict *lavrelease.ConflictError
		lavassert.True(t, "the error is a ConflictError", errors.As(err, &conflict))
		lavassert.Equal(t, "edits since the base", fmt.Sprint(conflict.Theirs), "[Change Models caption (version 2, note theirs) Add Models review (version 3, note add-review)]")
		lavassert.Equal(t, "edits of the same items", fmt.Sprint(conflict.Both), "[Change Models caption (version 2, note theirs)]")
	})
	t.Run("the edits since a base ahead of the head are not known", func(t *testing.T) {
		n := addModel(9, "x")
		_, err := lavrelease.Publish(t.Context(), s, &n)
		var conflict *lavrelease.ConflictError
		lavassert.True(t, "partial", errors.As(err, &conflict) && conflict.Partial)
	})
}

// TestRace lets six operators publish concurrently on the same base, with a
// crash of one operator at each step of Publish. Exactly one note must come into
// force.
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
			lavassert.True(t, fmt.Sprintf("operator %d may get verdict %v only because of its crash", i, v), i == 0 && crashAt != lavstep.None)
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
	t.Run("keys that a publisher may still reference are kept", func(t *testing.T) {
		n, err := lavrelease.Sweep(t.Context(), s, 100)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "deleted", n, 0)
	})
	t.Run("keys that no head can reference are deleted", func(t *testing.T) {
		for v := range lavrelease.Version(12) {
			publish(t, s, changeModel(v+1, fmt.Sprint(v), "caption"))
		}
		n, err := lavrelease.Sweep(t.Context(), s, 100)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "deleted keys: a chunk and a note", n, 2)
		_, err = lavrelease.Load(t.Context(), s)
		lavassert.NoError(t, err)
	})
}
