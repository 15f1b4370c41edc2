package lavrelay

import (
	"time"

	"lavenderrack.example/lavenderrack/lavcause"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"

	"github.com/phuslu/log"
)

// phases are the parts of a call's time before its first event.
type phases struct {
	// chosenAt is when endpoints were chosen for the first time, and sentAt when the last
	// attempt began. Both are zero before that.
	chosenAt, sentAt time.Time
	// endpointWait and prefillWait are how long the call waited for endpoints and for the
	// prefill of others, and failed is how long its failed attempts took.
	endpointWait, prefillWait, failed time.Duration
	// waitedBefore is the sum of the waits before the last attempt.
	waitedBefore time.Duration
}

func (p *phases) recordChoice() {
	if p.chosenAt.IsZero() {
		p.chosenAt = time.Now()
	}
}

// recordAttempt records that an attempt begins. begun is true if the caller has a part of the
// response.
func (p *phases) recordAttempt(now time.Time, begun bool) {
	waited := p.endpointWait + p.prefillWait
	if !p.sentAt.IsZero() && !begun {
		p.failed += now.Sub(p.sentAt) - (waited - p.waitedBefore)
	}
	p.sentAt, p.waitedBefore = now, waited
}

// sent returns the time from the arrival to the last attempt, zero if there was none.
func (p *phases) sent(arrived time.Time) time.Duration {
	if p.sentAt.IsZero() {
		return 0
	}
	return p.sentAt.Sub(arrived)
}

// admission returns the time from the arrival to the first choice of endpoints.
func (p *phases) admission(arrived time.Time) time.Duration {
	if p.chosenAt.IsZero() {
		return time.Since(arrived)
	}
	return p.chosenAt.Sub(arrived)
}

// pause is what is known of the longest pause between two events.
type pause struct {
	// isLast is true if it is the pause before the last event.
	isLast bool
	// resumed is true if the stream was resumed meanwhile, and delivery how long the caller took
	// to receive the event before.
	resumed  bool
	delivery time.Duration
	// prefill and slowdown are those of the endpoint.
	prefill  time.Duration
	slowdown float64
}

// recordWait records a wait at this host.
func (t *trace) recordWait(forPrefill bool, d time.Duration) {
	switch {
	case !t.lastEvent.IsZero():
		// It is a part of a pause.
	case forPrefill:
		t.phases.prefillWait += d
	default:
		t.phases.endpointWait += d
	}
}

// recordDelivery records that the caller has received the bytes of the last write.
func (t *trace) recordDelivery(now time.Time) {
	t.delivery = now.Sub(t.lastEvent)
	if t.longestGap == 0 {
		t.firstDelivery = t.delivery
	}
}

// recordEvent records what was known of the primary endpoint at an event that has been written.
func (t *trace) recordEvent(r *lavfleet.Run) {
	if t.longestGap == 0 {
		t.known.Slowdown = max(t.known.Slowdown, r.Slowdown())
	}
	if t.pause.isLast {
		t.pause.prefill, t.pause.slowdown = r.PrefillBeforeEvent(), r.Slowdown()
	}
}

// miss returns what a call with the given outcome missed.
func (t *task) miss(o Outcome) lavcause.Miss {
	p, route := &t.trace.phases, t.call.Route
	record := lavcause.Record{
		Ending:         t.ending(o),
		Ran:            t.runs > 0,
		Objective:      route.Objective,
		PauseObjective: route.PauseObjective,
		Answered:       time.Since(t.call.Arrived),
		Begun:          t.headSent,
		Admission:      p.admission(t.call.Arrived),
		EndpointWait:   p.endpointWait,
		PrefillWait:    p.prefillWait,
		Retries:        p.failed,
		Delivery:       t.trace.firstDelivery,
		OwnPrefill:     t.trace.prefill,
		Known: lavcause.KnownLoad{
			Requests: t.trace.known.Requests,
			Slots:    t.trace.known.Slots,
			Prefill:  t.trace.known.Prefill,
			Slowdown: t.trace.known.Slowdown,
		},
		Pause: lavcause.Pause{
			Length:   t.trace.longestGap,
			Resumed:  t.trace.pause.resumed,
			Delivery: t.trace.pause.delivery,
			Prefill:  t.trace.pause.prefill,
			Slowdown: t.trace.pause.slowdown,
		},
	}
	if !t.trace.lastEvent.IsZero() {
		record.Answered = t.trace.firstEvent + t.trace.firstDelivery
	}
	return lavcause.Classify(&record)
}

// ending translates an outcome.
func (t *task) ending(o Outcome) lavcause.Ending {
	switch o {
	case OutcomeDone:
		return lavcause.EndingAnswered
	case OutcomeLate:
		return lavcause.EndingExpired
	case OutcomeLeft, OutcomeSlow:
		return lavcause.EndingLeft
	case OutcomeSuspect:
		return lavcause.EndingBlocked
	case OutcomeUnready, OutcomeLeaving:
		return lavcause.EndingUnready
	case OutcomeFull, OutcomeNoEndpoint:
		return t.trace.refusal()
	default:
		return lavcause.EndingEndpointFailed
	}
}

// refusal returns the ending of a call that got no endpoint.
func (t *trace) refusal() lavcause.Ending {
	waited := t.excluded[lavfleet.ReasonLimited] + t.excluded[lavfleet.ReasonRateLimited] + t.excluded[lavfleet.ReasonRetryAfter]
	if t.candidates == 0 && waited > 0 {
		return lavcause.EndingNoPermit
	}
	return lavcause.EndingNoCapacity
}

// addMiss adds to the line of a call what it missed, and what the cause follows from.
func (t *task) addMiss(line *log.Entry, miss lavcause.Miss) {
	p, known := &t.trace.phases, t.trace.known
	line.Str("Cause", miss.Cause.String()).
		Dur("LateBy", miss.LateBy).
		Dur("Admitted", p.admission(t.call.Arrived)).
		Dur("HeldForEndpoint", p.endpointWait).
		Dur("HeldForPrefill", p.prefillWait).
		Dur("FailedFor", p.failed).
		Dur("Delivery", t.trace.firstDelivery).
		Int("KnownRequests", known.Requests).
		Int("KnownStreams", countStreams(known.Streams)).
		Int("KnownSlots", known.Slots).
		Dur("KnownPrefill", known.Prefill).
		Float64("KnownSlowdown", known.Slowdown).
		Bool("PauseResumed", t.trace.pause.resumed).
		Dur("PauseDelivery", t.trace.pause.delivery).
		Dur("PausePrefill", t.trace.pause.prefill).
		Float64("PauseSlowdown", t.trace.pause.slowdown)
}

// countStreams returns the number of streams of all groups.
func countStreams(groups lavplan.Streams) int {
	n := 0
	for _, g := range groups {
		n += g.Count
	}
	return n
}
