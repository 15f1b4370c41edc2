package lavrelay

import (
	"time"

	"lavenderrack.example/lavenderrack/lavcause"
	"lavenderrack.example/lavenderrack/lavfleet"

	"github.com/uber-go/tally/v4"
)

// metrics counts the outcomes of calls and measures their latency.
type metrics struct {
	scope      tally.Scope
	outcomes   map[Outcome]tally.Counter
	firstEvent tally.Histogram
	took       tally.Histogram
	// leaving, leftAlone and limited count the statements of endpoints that they will leave,
	// want no requests for a time, or take a limited number of requests.
	leaving, leftAlone, limited tally.Counter
	// foreign counts the streams in which an endpoint sent bytes that are no event.
	foreign tally.Counter
	// unproven counts the answers that were lost since they don't name the request, or are a success
	// without a stamp.
	unproven tally.Counter
	// retried counts the retries taken from retry budgets, and notRetried those that a budget did
	// not allow.
	retried, notRetried tally.Counter
	// retries counts by service why retries were denied.
	retries tally.Scope
	// unknown counts the statements that this version doesn't know.
	unknown tally.Counter
	// missed counts the calls that missed what their route promises.
	missed map[lavcause.Cause]tally.Counter
	// excluded counts the endpoints that were left out at the last choice of a call.
	excluded [len(lavfleet.Exclusions{})]tally.Counter
}

// Buckets of the latency histograms.
const (
	minBucket    = 10 * time.Millisecond
	bucketFactor = 2
	bucketCount  = 12
)

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(minBucket, bucketFactor, bucketCount)
	s := scope.SubScope("requests")
	c := metrics{
		scope:      s,
		outcomes:   make(map[Outcome]tally.Counter),
		missed:     make(map[lavcause.Cause]tally.Counter),
		firstEvent: s.Histogram("first_event", buckets),
		took:       s.Histogram("took", buckets),
	}
	c.retries = scope.SubScope("retries")
	c.retried, c.notRetried = c.retries.Counter("sent"), c.retries.Counter("denied")
	endpoints := scope.SubScope("endpoints")
	c.leaving, c.leftAlone = endpoints.Counter("leaving_stated"), endpoints.Counter("left_alone")
	c.limited = endpoints.Counter("limits_stated")
	c.foreign = endpoints.Counter("foreign_bytes")
	c.unproven = endpoints.Counter("unproven_answers")
	c.unknown = endpoints.Counter("unknown_statements")
	for reason := range c.excluded {
		c.excluded[reason] = endpoints.Tagged(map[string]string{"reason": lavfleet.Reason(reason).String()}).Counter("excluded")
	}
	for _, cause := range lavcause.Causes() {
		c.missed[cause] = s.Tagged(map[string]string{"cause": cause.String()}).Counter("missed")
	}
	for o := OutcomeDone; o <= OutcomeLeaving; o++ {
		c.outcomes[o] = s.Tagged(map[string]string{"outcome": o.String()}).Counter("ended")
	}
	return c
}

func (c *metrics) record(call *Call, t *task, o Outcome, miss lavcause.Miss) {
	c.outcomes[o].Inc(1)
	if miss.Cause != lavcause.CauseNone {
		c.missed[miss.Cause].Inc(1)
	}
	for reason, n := range t.trace.excluded {
		c.excluded[reason].Inc(int64(n))
	}
	c.took.RecordDuration(time.Since(call.Arrived))
	if t.trace.firstEvent > 0 {
		c.firstEvent.RecordDuration(t.trace.firstEvent)
	}
}

// countRetry counts a retry of a service that its budget allowed or not. A denied one is also counted by
// whether the host's part of the burst was withheld or its share was used up.
func (c *metrics) countRetry(service string, share lavfleet.RetryShare, allowed bool) {
	if allowed {
		c.retried.Inc(1)
		return
	}
	c.notRetried.Inc(1)
	reason := "used_up"
	if share.Withheld() {
		reason = "withheld"
	}
	c.retries.Tagged(map[string]string{"service": service}).Counter(reason).Inc(1)
}
