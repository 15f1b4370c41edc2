package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// counters holds the metrics of the dispatcher.
type counters struct {
	scope    tally.Scope
	assigned [lavrequest.ClassCount]tally.Counter
	waitTime [lavrequest.ClassCount]tally.Histogram
	waiting  tally.Gauge
	running  tally.Gauge
}

// waitBuckets are the histogram buckets for queue wait times.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)

func newCounters(scope tally.Scope) *counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("dispatch")
	c := &counters{scope: scope, waiting: scope.Gauge("waiting"), running: scope.Gauge("running")}
	for _, lane := range lavrequest.Classes() {
		tagged := scope.Tagged(map[string]string{"lane": lane.String()})
		c.assigned[lane] = tagged.Counter("assigned")
		c.waitTime[lane] = tagged.Histogram("waited", waitBuckets)
	}
	return c
}

// recordRefusal counts a refusal by its reason. Other errors are not counted.
func (c *counters) recordRefusal(err error) {
	var refusal *lavqueue.Refusal
	if errors.As(err, &refusal) {
		c.scope.Tagged(map[string]string{"reason": refusal.Reason.String()}).Counter("refused").Inc(1)
	}
}
