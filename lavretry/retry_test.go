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
	spend := func(b *lavretry.Budget[string], key string, attempts int) int {
		spent := 0
		for range attempts {
			if b.Spend(key) {
				spent++
			}
		}
		return spent
	}
	t.Run("a key starts with a burst, and then earns retries by successes", func(t *testing.T) {
		b := lavretry.NewBudget[string]()
		lavassert.Equal(t, "retries of a new key", spend(b, "a", 1000), lavretry.Burst)
		for range 50 {
			b.RecordSuccess("a")
		}
		got := spend(b, "a", 1000)
		lavassert.AtMost(t, "retries after 50 successes", got, 10)
		lavassert.AtLeast(t, "retries after 50 successes", got, 9)
	})
	t.Run("each key has its own balance", func(t *testing.T) {
		b := lavretry.NewBudget[string]()
		spend(b, "a", 1000)
		lavassert.Equal(t, "retries of another key", spend(b, "b", 1), 1)
	})
}

func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		b := lavretry.Backoff{First: 50 * time.Millisecond, Longest: time.Second}
		var err error
		attempts := 0
		for began := time.Now(); err == nil; attempts++ {
			err = b.Wait(ctx)
			lavassert.AtMost(t, "time spent", time.Since(began), 3*time.Second)
		}
		lavassert.ErrorIs(t, err, lavretry.ErrDeadline)
		lavassert.True(t, "ErrDeadline was returned before the deadline", ctx.Err() == nil)
		lavassert.AtLeast(t, "attempts", attempts, 3)
		lavassert.AtMost(t, "attempts", attempts, 60)
	})
}

func TestAttempts(t *testing.T) {
	var a lavretry.Attempts
	lavassert.Equal(t, "outcome without attempts", a.FailureOutcome(), lavrequest.OutcomeNotRun)
	a.Add(lavretry.Attempt{Endpoint: "a"})
	lavassert.Equal(t, "outcome without a byte written", a.FailureOutcome(), lavrequest.OutcomeNotRun)
	a.Add(lavretry.Attempt{Endpoint: "b", Wrote: true})
	a.Add(lavretry.Attempt{Endpoint: "c"})
	lavassert.Equal(t, "outcome with one attempt that wrote", a.FailureOutcome(), lavrequest.OutcomeUnknown)
	lavassert.Equal(t, "endpoints", a.Endpoints(), []string{"a", "b", "c"})
}
