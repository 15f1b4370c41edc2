package lavfleet

import "time"

// HandOverRetries returns the retries that this host has sent to each service and that still count, for
// the host that takes up its share. This host sends no further ones.
func (f *Fleet) HandOverRetries() map[string]int {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retriesHandedOver = true
	sent := make(map[string]int, len(f.services))
	for name, svc := range f.services {
		if n := svc.budget.sent(now); n > 0 {
			sent[name] = n
		}
	}
	return sent
}

// TakeOverRetries counts the retries that the host whose share this one takes up has sent to each service,
// as if they were sent now. What that host sent is known then, so that the burst needs no wait.
func (f *Fleet) TakeOverRetries(sent map[string]int) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takenOver, f.takenOverAt = sent, now
	for name, svc := range f.services {
		svc.budget.takeOver(now, sent[name])
	}
}

// newBudget returns the budget of a service that has become known, with what this host has taken over.
func (f *Fleet) newBudget(name string) *budget {
	b := newBudget(f.startedAt, f.bounds.Retry)
	if !f.takenOverAt.IsZero() {
		b.takeOver(f.takenOverAt, f.takenOver[name])
	}
	return b
}

// sent returns the number of retries that still count.
func (b *budget) sent(now time.Time) int {
	last := b.requests.stepOf(now)
	return b.retries.sum(last-countedSteps, last)
}

// takeOver counts retries as sent at a time, by a host that had counted all of its own.
func (b *budget) takeOver(at time.Time, sent int) {
	b.countingSince = time.Time{}
	for range sent {
		b.retries.add(at)
	}
}
