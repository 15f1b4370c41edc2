package lavpermit

import "time"

// askers is when each of the hosts that share a bound last asked.
type askers map[string]time.Time

// askAfter returns when a host should ask again.
func (a askers) askAfter() time.Duration {
	return max(MinAskInterval, time.Duration(len(a))*askIntervalPerAsker)
}

// forget drops the hosts that no longer ask.
func (a askers) forget(now time.Time) {
	ttl := max(2*a.askAfter(), minAskerTTL)
	for asker, at := range a {
		if now.Sub(at) > ttl {
			delete(a, asker)
		}
	}
}
