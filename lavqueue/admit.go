package lavqueue

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cespare/xxhash/v2"
)

// admit returns nil if the request is admitted, otherwise the refusal.
func (q *Queue) admit(now time.Time, r *lavrequest.Request, rates *Rates) *Refusal {
	if q.settings.Refuse != nil {
		if refusal := q.settings.Refuse(r); refusal != nil {
			return refusal
		}
	}
	if len(q.items) >= q.settings.MaxWaiting || q.waitingCount(r.Customer) >= q.settings.MaxPerCustomer {
		return &Refusal{Reason: ReasonFull, RetryAfter: addJitter(r, retryAfterFull)}
	}
	remaining := r.Deadline.Sub(now)
	if q.settings.FIFO {
		if remaining <= 0 {
			return &Refusal{Reason: ReasonDeadline}
		}
		return nil
	}
	lane := q.laneOf(r)
	serviceTime := rates.ServiceTime(r, lane)
	if serviceTime >= remaining {
		// The request would miss its deadline even without queueing, so a retry
		// does not help.
		return &Refusal{Reason: ReasonDeadline}
	}
	if wait := q.EstimateWait(r, rates); wait+serviceTime > remaining {
		shortfall := wait + serviceTime - remaining
		return &Refusal{Reason: ReasonDeadline, RetryAfter: addJitter(r, min(max(shortfall, minRetryAfter), maxRetryAfter))}
	}
	return nil
}

func (q *Queue) waitingCount(name string) int {
	if q.settings.FIFO {
		return 0
	}
	if c := q.customers[name]; c != nil {
		return c.waiting
	}
	return 0
}

// EstimateWait estimates how long a request would wait before an endpoint
// begins its prefill. The requests in its own lane and in shorter lanes go
// first, but a customer within its share waits for no more of that work than
// fair sharing lets through.
func (q *Queue) EstimateWait(r *lavrequest.Request, rates *Rates) time.Duration {
	lane := q.laneOf(r)
	queuedTokens := 0
	for l := range lane + 1 {
		for _, g := range q.lanes[l].groups {
			if g.target.model == r.Model {
				queuedTokens += g.promptTokens
			}
		}
	}
	tokensAhead := float64(queuedTokens)
	if c := q.customers[r.Customer]; c != nil || len(q.items) > 0 {
		tokensAhead = min(tokensAhead, q.fairShareBacklog(c, r, lane))
	}
	return rates.EndpointWait[lane] + durationAt(tokensAhead, rates.DrainRate)
}

// fairShareBacklog returns the prompt tokens that are dispatched until the
// customer's own backlog in this lane and the shorter ones, including this
// request, is finished, if every active customer gets exactly its share.
func (q *Queue) fairShareBacklog(c *customer, r *lavrequest.Request, lane lavrequest.LengthClass) float64 {
	ownTokens := float64(r.PromptTokens)
	share := q.share(r.Customer)
	lead := 0.0
	if c != nil {
		for l := range lane + 1 {
			ownTokens += float64(c.promptTokens[l])
		}
		lead = max(c.virtualTime-q.virtualTime, 0) * share
	}
	shares := 0.0
	for _, other := range q.activeCustomers.items {
		shares += other.share
	}
	if c == nil || c.waiting == 0 {
		shares += share
	}
	return (ownTokens + lead) * shares / share
}

// addJitter lengthens a retry time by up to a quarter, so that callers refused
// at the same moment do not retry at the same moment.
func addJitter(r *lavrequest.Request, d time.Duration) time.Duration {
	const steps = 1 << 10
	return d + d/4*time.Duration(xxhash.Sum64String(string(r.ID))%steps)/steps
}
