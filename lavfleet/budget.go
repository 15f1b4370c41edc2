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

// Numbers of steps in which a budget counts. Requests allow retries in windows that end half a window
// later.
const (
	windowSteps   = 100
	countedSteps  = windowSteps + windowSteps/10
	delaySteps    = windowSteps / 2
	requestsSteps = windowSteps + delaySteps
)

// budget is one host's share of the retry budget of a service.
//
// In any window this host sends at most Ratio retries for each of its requests in the window that ended
// half a window earlier, and its part of the burst. All hosts refer to the same window of requests,
// so that the sum over hosts holds too, however requests move between them. With the requests of
// the last window as each host sees it when it sends, the sum of hosts that send at different times
// would exceed what any one window allows.
type budget struct {
	requests, retries stepCounts
	// countingSince is the start of the count, zero if what an earlier process of the host sent is
	// known. Otherwise the host has no share of the burst in its first window.
	countingSince time.Time
}

func newBudget(now time.Time, bounds BudgetBounds) *budget {
	step := max(bounds.Window/windowSteps, 1)
	return &budget{
		requests:      newStepCounts(now, step, requestsSteps),
		retries:       newStepCounts(now, step, countedSteps+1),
		countingSince: now,
	}
}

// burstDivision is how the burst of every retry budget is divided: among hosts, of which this one
// may use its part or not.
type burstDivision struct {
	hosts  int
	mayUse bool
}

// RetryShare is this host's share of a service's retry budget.
type RetryShare struct {
	// Sent is the number of retries in the window with the fewest left, and Allowed what it may
	// reach.
	Sent    int
	Allowed float64
	// Hosts is the number by which the burst is divided, and Burst is false if this host may not
	// use its part of it.
	Hosts int
	Burst bool
	// Part is this host's part of the burst, whether it may use it or not.
	Part float64
}

// Exhausted reports whether the share allows no further retry.
func (s RetryShare) Exhausted() bool { return float64(s.Sent+1) > s.Allowed }

// Withheld reports whether the share allows no further retry, but would if this host could use its part
// of the burst.
func (s RetryShare) Withheld() bool {
	return s.Exhausted() && !s.Burst && float64(s.Sent+1) <= s.Allowed+s.Part
}

// left returns how many retries are left.
func (s RetryShare) left() float64 { return s.Allowed - float64(s.Sent) }

// share returns the host's share at a time: of all windows that will contain a retry that is sent
// now, that with the fewest retries left.
func (b *budget) share(now time.Time, bounds BudgetBounds, d burstDivision) RetryShare {
	last := b.requests.stepOf(now)
	tightest := RetryShare{Hosts: max(d.hosts, 1)}
	tightest.Burst = d.mayUse && now.Sub(b.countingSince) >= bounds.Window
	tightest.Part = bounds.Burst / float64(tightest.Hosts)
	burst := 0.0
	if tightest.Burst {
		burst = tightest.Part
	}
	for end := last; end <= last+countedSteps; end++ {
		s := tightest
		s.Sent = b.retries.sum(end-countedSteps, last)
		// Only steps that are wholly in the window count.
		s.Allowed = bounds.Ratio*float64(b.requests.sum(end-requestsSteps+1, min(end-delaySteps-1, last))) + burst
		if end == last || s.left() < tightest.left() {
			tightest = s
		}
	}
	return tightest
}

// spend counts one retry if the host's share allows it, and returns the share before it.
func (b *budget) spend(now time.Time, bounds BudgetBounds, d burstDivision) RetryShare {
	s := b.share(now, bounds, d)
	if !s.Exhausted() {
		b.retries.add(now)
	}
	return s
}
