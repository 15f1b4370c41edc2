package lavassert

import (
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Equal reports an error if got and want are not deeply equal.
func Equal[T any](t testing.TB, label string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", label, got, want)
	}
}

// AtMost reports an error if got is greater than bound.
func AtMost[T int | int64 | uint64 | float64 | time.Duration](t testing.TB, label string, got, bound T) {
	t.Helper()
	if got > bound {
		t.Errorf("%s: got %v, want at most %v", label, got, bound)
	}
}

// AtLeast reports an error if got is less than bound.
func AtLeast[T int | int64 | uint64 | float64 | time.Duration](t testing.TB, label string, got, bound T) {
	t.Helper()
	if got < bound {
		t.Errorf("%s: got %v, want at least %v", label, got, bound)
	}
}

// True reports an error if condition is false.
func True(t testing.TB, label string, condition bool) {
	t.Helper()
	if !condition {
		t.Errorf("%s: condition is false", label)
	}
}

// NoError ends the test if err is not nil.
func NoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// ErrorIs reports an error unless err wraps want.
func ErrorIs(t testing.TB, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("got error %v, want an error that wraps %v", err, want)
	}
}

// Eventually polls condition and ends the test if it does not become true
// within 600 attempts, 50 ms apart. In a synctest bubble the waits take no real
// time.
func Eventually(t testing.TB, label string, condition func() bool) {
	t.Helper()
	const attempts, interval = 600, 50 * time.Millisecond
	for range attempts {
		if condition() {
			return
		}
		time.Sleep(interval)
	}
	t.Fatalf("condition not met in time: %s", label)
}
