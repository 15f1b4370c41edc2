package lavretry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
)

func TestBudget(t *testing.T) {
	spend := func(b *lavretry.Budget[string], key string, tries int) int {
		spent := 0
		for range tries {
			if b.Spend(key) {
				spent++
			}
		}
		return spent
	}
	t.Run("a key may burst and then only as it succeeds", func(t *testing.T) {
		b := lavretry.NewBudget[string]()
		lavassert.Equal(t, "burst", spend(b, "a", 1000), lavretry.Burst)
		for range 50 {
			b.RecordSuccess("a")
		}
		got := spend(b, "a", 1000)
		lavassert.AtMost(t, "after 50 successes", got, 10)
		lavassert.AtLeast(t, "after 50 successes", got, 9)
	})
	t.Run("keys don't share", func(t *testing.T) {
		b := lavretry.NewBudget[string]()
		spend(b, "a", 1000)
		lavassert.Equal(t, "other key", spend(b, "b", 1), 1)
	})
}

func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		b := lavretry.Backoff{First: 50 * time.Millisecond, Longest: time.Second}
		var err error
		tries := 0
		for began := time.Now(); err == nil; tries++ {
			err = b.Wait(ctx)
			lavassert.AtMost(t, "time", time.Since(began), 3*time.Second)
		}
		lavassert.ErrorIs(t, err, lavretry.ErrDeadline)
		lavassert.True(t, "the deadline had not passed", ctx.Err() == nil)
		lavassert.AtLeast(t, "tries", tries, 3)
		lavassert.AtMost(t, "tries", tries, 60)
	})
}

func TestAttempts(t *testing.T) {
	var a lavretry.Attempts
	lavassert.Equal(t, "none", a.FailureOutcome(), lavrequest.OutcomeNotRun)
	a.Add(lavretry.Attempt{Endpoint: "a"})
	lavassert.Equal(t, "nothing written", a.FailureOutcome(), lavrequest.OutcomeNotRun)
	a.Add(lavretry.Attempt{Endpoint: "b", Wrote: true})
	a.Add(lavretry.Attempt{Endpoint: "c"})
	lavassert.Equal(t, "written once", a.FailureOutcome(), lavrequest.OutcomeUnknown)
	lavassert.Equal(t, "endpoints", a.Endpoints(), []string{"a", "b", "c"})
}
