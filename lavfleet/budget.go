package lavfleet

import "time"

// BudgetBounds limits the retries that all hosts together send to a service.
type BudgetBounds struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Window is the period in which requests and retries are counted.
	Window time.Duration
	// Burst is the number of retries allowed in addition, for all hosts together.
	Burst float64
}

// budget is one host's share of the retry budget of a service.
type budget struct {
	requests window
	retries  window
	// countingSince is the start of the count. Retries before a restart of the host
	// are not known, so a host has no share of the burst in its first window.
	countingSince time.Time
}

func newBudget(now time.Time, span time.Duration) *budget {
	// The bound applies to the time of arrival, which can be later than the time of
	// sending. Retries are therefore counted over a slightly longer window.
	return &budget{requests: window{span: span}, retries: window{span: span + span/10}, countingSince: now}
}

// spend counts one retry and returns true if the host's share allows it.
func (b *budget) spend(now time.Time, bounds BudgetBounds, hosts int) bool {
	allowed := bounds.Ratio * float64(b.requests.count(now))
	if now.Sub(b.countingSince) >= bounds.Window {
		allowed += bounds.Burst / float64(max(hosts, 1))
	}
	if float64(b.retries.count(now)+1) > allowed {
		return false
	}
	b.retries.add(now)
	return true
}
