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

// CountedFor returns how long a retry counts. The bound applies to the time of arrival, which
// can be later than the time of sending, so that this is slightly longer than the window.
func (b BudgetBounds) CountedFor() time.Duration { return b.Window + b.Window/10 }

// budget is one host's share of the retry budget of a service.
type budget struct {
	requests window
	retries  window
	// countingSince is the start of the count. Retries before a restart of the host
	// are not known, so a host has no share of the burst in its first window.
	countingSince time.Time
}

func newBudget(now time.Time, bounds BudgetBounds) *budget {
	return &budget{requests: window{span: bounds.Window}, retries: window{span: bounds.CountedFor()}, countingSince: now}
}

// burstDivision is how the burst of every retry budget is divided: among hosts, of which this one
// may use its part or not.
type burstDivision struct {
	hosts  int
	mayUse bool
}

// RetryShare is this host's share of a service's retry budget.
type RetryShare struct {
	// Sent is the number of retries in the window, and Allowed what it may reach.
	Sent    int
	Allowed float64
	// Hosts is the number by which the burst is divided, and Burst is false if this host may not
	// use its part of it.
	Hosts int
	Burst bool
}

// Exhausted reports whether the share allows no further retry.
func (s RetryShare) Exhausted() bool { return float64(s.Sent+1) > s.Allowed }

// share returns the host's share at a time.
func (b *budget) share(now time.Time, bounds BudgetBounds, d burstDivision) RetryShare {
	s := RetryShare{Sent: b.retries.count(now), Allowed: bounds.Ratio * float64(b.requests.count(now)), Hosts: max(d.hosts, 1)}
	s.Burst = d.mayUse && now.Sub(b.countingSince) >= bounds.Window
	if s.Burst {
		s.Allowed += bounds.Burst / float64(s.Hosts)
	}
	return s
}

// spend counts one retry if the host's share allows it, and returns the share before it.
func (b *budget) spend(now time.Time, bounds BudgetBounds, d burstDivision) RetryShare {
	s := b.share(now, bounds, d)
	if !s.Exhausted() {
		b.retries.add(now)
	}
	return s
}
