package lavrelay

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavcause"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/phuslu/log"
)

// trace collects what the log line of a call reports about its attempts.
type trace struct {
	endpoints []string
	helpers   []string
	prefill   time.Duration
	// known is the load of the last primary endpoint at its choice.
	known    lavplan.Candidate
	refusals int
	// candidates and the fields after it are the state on which the last choice of
	// endpoints, or the refusal, was based.
	candidates, inBackoff int
	excluded              lavfleet.Exclusions
	limitedBy             lavfleet.BlockingLimit
	backlog, expected     time.Duration
	loadAge               time.Duration
	// waited is how long the last attempt waited before it was sent.
	waited time.Duration
	// scheduler is the host that placed the last attempt, empty if this host did, and asked how
	// long the questions to schedulers took.
	scheduler string
	asked     time.Duration
	phases    phases
	failure   string
	// blocked is what of the request is blocked, empty if nothing is.
	blocked    string
	firstEvent time.Duration
	lastEvent  time.Time
	longestGap time.Duration
	pause      pause
	// firstDelivery and delivery are how long the caller took to receive the first and the last
	// event.
	firstDelivery, delivery time.Duration
	// framing is that of the last response, and partialBytes the number of bytes that
	// followed its last whole event.
	framing      lavconn.Framing
	partialBytes int
	// foreign describes the bytes of an endpoint that were no event of its stream, empty if there
	// were none.
	foreign string
	// limit is what the endpoint of the last response states to take from all hosts, in
	// requests per second. It is empty if the response states no limit.
	limit string
	// retryShare is this host's share of the retry budget at the last retry, or when it was denied.
	retryShare lavfleet.RetryShare
	// kept is why the last silent run was not given up, empty if none was kept.
	kept string
}

func (t *trace) recordAttempt(c *placement) {
	t.phases.recordAttempt(time.Now(), !t.lastEvent.IsZero())
	t.endpoints = append(t.endpoints, c.endpoint.ID)
	t.helpers = t.helpers[:0]
	for _, h := range c.helpers {
		t.helpers = append(t.helpers, h.ID)
	}
	t.prefill, t.known = c.plan.Prefill, c.known
}

// recordPlan records the state on which a plan is based.
func (t *trace) recordPlan(b lavfleet.Snapshot, p lavplan.Plan) {
	t.excluded = b.Excluded
	if b.LimitedBy.Life.ID != "" {
		t.limitedBy = b.LimitedBy
	}
	t.candidates, t.inBackoff = len(b.Candidates), lavplan.CountInBackoff(b.Candidates)
	t.backlog, t.expected = lavplan.Backlog(b.Candidates), p.Expected
	t.loadAge = b.Age
	t.phases.recordChoice()
}

func (t *trace) recordResponse(r *lavconn.Response, head platform.Response) {
	t.framing, t.partialBytes, t.limit = r.Framing, 0, ""
	if head.LimitStated {
		t.limit = strconv.FormatFloat(head.RequestsPerSecond, 'f', -1, 64)
	}
}

// describeLimit returns the limit that held the call back or kept it from an endpoint, such as "e1
// takes 1.3 a second, stated 2.1s ago, 0.22 for this host", or "" if none did.
func (t *trace) describeLimit() string {
	l := t.limitedBy
	if l.Life.ID == "" {
		return ""
	}
	if l.Cold {
		return fmt.Sprintf("%s takes %.3g a second while cold, %.3g for this host", l.Life.ID, l.Limit.PerSecond, l.PerSecond)
	}
	return fmt.Sprintf("%s takes %.3g a second, stated %v ago, %.3g for this host",
		l.Life.ID, l.Limit.PerSecond, time.Since(l.Limit.At).Round(limitAgeUnit), l.PerSecond)
}

// describeRetryShare returns the share of the retry budget at the last retry, such as "3 of 17.2, burst
// divided by 30, in use".
func (t *trace) describeRetryShare() string {
	s := t.retryShare
	burst := "withheld"
	if s.Burst {
		burst = "in use"
	}
	return fmt.Sprintf("%d of %.3g, burst divided by %d, %s", s.Sent, s.Allowed, s.Hosts, burst)
}

// recordForeign records that bytes of an endpoint are no event of its stream, which follow a number of
// events, such as "e1 after event 3: line is no text".
func (t *trace) recordForeign(endpoint, lastID string, err error) {
	t.foreign = fmt.Sprintf("%s after event %s: %v", endpoint, cmp.Or(lastID, "0"), err)
}

func (t *trace) recordError(err error) { t.failure = err.Error() }

// recordWrite records the time at which bytes of a stream were sent to the caller.
func (t *trace) recordWrite(now, arrived time.Time) {
	t.pause.isLast = false
	if t.lastEvent.IsZero() {
		t.firstEvent = now.Sub(arrived)
	} else if gap := now.Sub(t.lastEvent); gap > t.longestGap {
		t.longestGap = gap
		t.pause = pause{isLast: true, resumed: t.phases.sentAt.After(t.lastEvent), delivery: t.delivery}
	}
	t.lastEvent = now
}

// schedulerSelf is what a call's line names as the scheduler if this host placed the call.
const schedulerSelf = "self"

// limitAgeUnit is the unit in which a call's line gives the age of a limit.
const limitAgeUnit = 100 * time.Millisecond

// log writes the log line of a call with its outcome, what it missed and what it was based on.
func (t *task) log(o Outcome, miss lavcause.Miss) {
	level := log.InfoLevel
	if o != OutcomeDone {
		level = log.WarnLevel
	}
	line := t.relay.logger.WithLevel(level).
		Str("Request", t.call.ID).
		Str("Outcome", o.String()).
		Str("Route", t.call.Route.Name).
		Str("Service", t.call.Service).
		Uint64("Version", uint64(t.call.Version)).
		Int("Rank", t.call.Prompt.Rank).
		Int("PromptTokens", t.call.Prompt.Tokens).
		Strs("Segments", t.call.PromptSegments).
		Strs("Endpoints", t.trace.endpoints).
		Int("Helpers", len(t.trace.helpers)).
		Strs("HelpedBy", t.trace.helpers).
		Dur("Sent", t.trace.phases.sent(t.call.Arrived)).
		Dur("Reading", t.trace.prefill).
		Int("Candidates", t.trace.candidates).
		Int("Doubtful", t.trace.inBackoff).
		Str("Excluded", t.trace.excluded.String()).
		Dur("Backlog", t.trace.backlog).
		Dur("Expected", t.trace.expected).
		Dur("LoadAge", t.trace.loadAge).
		Bool("Returned", t.call.Prompt.Retried).
		Dur("Held", t.trace.waited).
		Str("Scheduler", cmp.Or(t.trace.scheduler, schedulerSelf)).
		Dur("Asked", t.trace.asked).
		Int("Runs", t.runs).
		Int("Refusals", t.trace.refusals).
		Int("Events", t.events.Count()).
		Str("Framing", t.trace.framing.String()).
		Int("PartialBytes", t.trace.partialBytes).
		Str("Foreign", t.trace.foreign).
		Dur("First", t.trace.firstEvent).
		Dur("LongestPause", t.trace.longestGap).
		Dur("Took", time.Since(t.call.Arrived)).
		Dur("RetryAfter", t.retryAfter).
		Str("Failure", t.trace.failure).
		Str("Kept", t.trace.kept).
		Str("Blocked", t.trace.blocked).
		Str("Limit", t.trace.limit).
		Str("LimitedBy", t.trace.describeLimit()).
		Str("Pressure", t.describePressure()).
		Str("Verdict", miss.Verdict.String())
	if miss.Cause != lavcause.CauseNone {
		t.addMiss(line, miss)
	}
	if t.trace.retryShare.Hosts > 0 {
		line.Str("RetryShare", t.trace.describeRetryShare())
	}
	line.Msg("request")
}
