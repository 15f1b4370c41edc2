package lavhost

import (
	"sync"
	"time"
)

// firstAttemptShare is the share of a route's longest known timeout below which
// the timeout of a request shows that it is a retry. A retry states only what
// is left of the caller's time. The timeouts of first attempts differ by up to
// a seventh.
const firstAttemptShare = 0.84

// retryDetector records the longest timeout that callers state on each route.
// It is safe for concurrent use.
type retryDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// isRetry reports whether a request with this timeout has probably been sent
// before, to this host or another. A timeout of 0 means that the caller stated
// none.
func (d *retryDetector) isRetry(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil {
		d.longest = make(map[string]time.Duration)
	}
	d.longest[route] = max(d.longest[route], timeout)
	return float64(timeout) < firstAttemptShare*float64(d.longest[route])
}
