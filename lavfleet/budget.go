package lavfleet

import "time"

// BudgetBounds bound the arrivals at a service beyond the first of each request.
type BudgetBounds struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Window is the span over which both are counted.
	Window time.Duration
	// Burst is allowed besides, over all hosts.
	Burst float64
}

// budget is one host's part of the repeats at one service.
type budget struct {
	requests window
	repeats  window
	// since is when the count began. What a host spent before it was restarted
	// is not known, so that it has no part of the burst for one window.
	since time.Time
}

func newBudget(now time.Time, span time.Duration) *budget {
	// Repeats count a little longer than the bound's window, since they are
	// counted as they arrive.
	return &budget{requests: window{span: span}, repeats: window{span: span + span/10}, since: now}
}

// spend takes one repeat if the host's part of the bound allows it.
func (b *budget) spend(now time.Time, bounds BudgetBounds, hosts int) bool {
	allowed := bounds.Ratio * float64(b.requests.count(now))
	if now.Sub(b.since) >= bounds.Window {
		allowed += bounds.Burst / float64(max(hosts, 1))
	}
	if float64(b.repeats.count(now)+1) > allowed {
		return false
	}
	b.repeats.add(now)
	return true
}
