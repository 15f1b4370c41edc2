package lavhost

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// TestRetryDetector checks that retries are distinguished from first attempts
// whose timeout is slightly shorter than the longest.
func TestRetryDetector(t *testing.T) {
	var detector retryDetector
	for timeout := 8500 * time.Millisecond; timeout <= 10*time.Second; timeout += 100 * time.Millisecond {
		detector.isRetry("captions", timeout)
	}
	for _, c := range []struct {
		name    string
		timeout time.Duration
		isRetry bool
	}{
		{"longest timeout", 10 * time.Second, false},
		{"first attempt with a shorter timeout", 8500 * time.Millisecond, false},
		{"retry after two seconds", 8 * time.Second, true},
		{"no timeout stated", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			lavassert.Equal(t, "is a retry", detector.isRetry("captions", c.timeout), c.isRetry)
		})
	}
	lavassert.True(t, "first request on another route", !detector.isRetry("reviews", 8*time.Second))
}
