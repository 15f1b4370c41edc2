package lavrelay

import (
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// trace is what a call's log line tells of its way.
type trace struct {
	endpoints []string
	helpers   int
	reading   time.Duration
	refusals  int
	// What decided where the last attempt went, or that none did.
	candidates, doubtful int
	backlog, expected    time.Duration
	age                  time.Duration
	// held is how long the last attempt waited before it was sent.
	held    time.Duration
	failure string
	first   time.Duration
	last    time.Time
	pause   time.Duration
}

func (t *trace) send(c *choice) {
	t.endpoints = append(t.endpoints, c.endpoint.ID)
	t.helpers = len(c.helpers)
	t.reading = c.plan.Prefill
}

// decide notes what a decision was made by.
func (t *trace) decide(b lavfleet.Snapshot, p lavplan.Plan) {
	t.candidates, t.doubtful = len(b.Candidates), lavplan.CountInBackoff(b.Candidates)
	t.backlog, t.expected = lavplan.Backlog(b.Candidates), p.Expected
	t.age = b.Age
}

func (t *trace) fail(err error) { t.failure = err.Error() }

// event notes that bytes of a stream went to the caller.
func (t *trace) event(now, arrived time.Time) {
	if t.last.IsZero() {
		t.first = now.Sub(arrived)
	} else {
		t.pause = max(t.pause, now.Sub(t.last))
	}
	t.last = now
}

// log writes the one line that tells how a call ended and what decided it.
func (t *task) log(o Outcome) {
	level := log.InfoLevel
	if o != OutcomeDone {
		level = log.WarnLevel
	}
	t.relay.logger.WithLevel(level).
		Str("Request", t.call.ID).
		Str("Outcome", o.String()).
		Str("Route", t.call.Route.Name).
		Str("Service", t.call.Service).
		Uint64("Version", uint64(t.call.Version)).
		Int("PromptTokens", t.call.Prompt.Tokens).
		Strs("Endpoints", t.trace.endpoints).
		Int("Helpers", t.trace.helpers).
		Dur("Reading", t.trace.reading).
		Int("Candidates", t.trace.candidates).
		Int("Doubtful", t.trace.doubtful).
		Dur("Backlog", t.trace.backlog).
		Dur("Expected", t.trace.expected).
		Dur("LoadAge", t.trace.age).
		Bool("Returned", t.call.Prompt.Retried).
		Dur("Held", t.trace.held).
		Int("Runs", t.runs).
		Int("Refusals", t.trace.refusals).
		Int("Events", t.events.count).
		Dur("First", t.trace.first).
		Dur("LongestPause", t.trace.pause).
		Dur("Took", time.Since(t.call.Arrived)).
		Dur("RetryAfter", t.retryAfter).
		Str("Failure", t.trace.failure).
		Msg("request")
}

// counts are the relay's metrics.
type counts struct {
	scope tally.Scope
	ends  map[Outcome]tally.Counter
	first tally.Histogram
	took  tally.Histogram
}

// Buckets of the latency histograms.
const (
	leastBucket  = 10 * time.Millisecond
	bucketFactor = 2
	bucketCount  = 12
)

func newCounts(scope tally.Scope) counts {
	buckets := tally.MustMakeExponentialDurationBuckets(leastBucket, bucketFactor, bucketCount)
	s := scope.SubScope("requests")
	c := counts{
		scope: s,
		ends:  make(map[Outcome]tally.Counter),
		first: s.Histogram("first_event", buckets),
		took:  s.Histogram("took", buckets),
	}
	for o := OutcomeDone; o <= OutcomeUnready; o++ {
		c.ends[o] = s.Tagged(map[string]string{"outcome": o.String()}).Counter("ended")
	}
	return c
}

func (c *counts) end(call *Call, t *task, o Outcome) {
	c.ends[o].Inc(1)
	c.took.RecordDuration(time.Since(call.Arrived))
	if t.trace.first > 0 {
		c.first.RecordDuration(t.trace.first)
	}
}
