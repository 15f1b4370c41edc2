package lavcause

import "time"

// Ending is how a request ended, as its host saw it.
type Ending int

// The endings.
const (
	// EndingAnswered means that the caller has the whole response of an endpoint.
	EndingAnswered Ending = iota
	// EndingExpired means that the caller's deadline has passed.
	EndingExpired
	// EndingLeft means that the caller disconnected.
	EndingLeft
	// EndingNoCapacity means that no endpoint had room, EndingNoPermit that those with room were
	// left out for a time, such as for want of a permit.
	EndingNoCapacity
	EndingNoPermit
	// EndingUnready means that the host could not confirm its state.
	EndingUnready
	// EndingBlocked means that the request crashes endpoints.
	EndingBlocked
	// EndingEndpointFailed means that an endpoint failed and the request could not be repeated.
	EndingEndpointFailed
)

// KnownLoad is what a host knew of an endpoint.
type KnownLoad struct {
	// Requests is the number of running and queued requests, and Slots that of those that may run.
	Requests, Slots int
	// Prefill is the outstanding prefill time.
	Prefill time.Duration
	// Slowdown is the processing time relative to the normal one.
	Slowdown float64
}

// Pause is the longest pause between two events of a stream.
type Pause struct {
	Length time.Duration
	// Resumed is true if the stream broke off and was resumed meanwhile.
	Resumed bool
	// Delivery is how long the caller took to receive the event before the pause.
	Delivery time.Duration
	// Prefill is the prefill time of others that was known at the endpoint, and Slowdown its
	// processing time relative to the normal one.
	Prefill  time.Duration
	Slowdown float64
}

// Record is what the host knows of a request that has ended.
type Record struct {
	Ending Ending
	// Ran is true if an endpoint may have run the request.
	Ran bool
	// Objective and PauseObjective are those of the route. Zero means none.
	Objective, PauseObjective time.Duration
	// Answered is the time from the arrival to the first event or, without events, to the end.
	Answered time.Duration
	// Begun is true if the first event, or the whole answer, has come.
	Begun bool
	// Admission, EndpointWait, PrefillWait, Retries and Delivery are the parts of Answered until
	// the first choice of endpoints, in which the request waited at the host for endpoints or for
	// the prefill of others, that went into failed attempts, and that the caller took to receive.
	Admission, EndpointWait, PrefillWait, Retries, Delivery time.Duration
	// OwnPrefill is the time that each endpoint needs for its part of the prompt.
	OwnPrefill time.Duration
	// Known is the load of the primary endpoint at the choice, without this request.
	Known KnownLoad
	Pause Pause
}

// Miss is what a request missed and why.
type Miss struct {
	Verdict Verdict
	Cause   Cause
	// LateBy is the time beyond the objective, zero if the request was not answered late.
	LateBy time.Duration
}

// Classify returns what a request missed.
func Classify(r *Record) Miss {
	late := r.Objective > 0 && r.Answered > r.Objective
	switch {
	case r.Ending == EndingLeft:
		return r.left(late)
	case r.Ending != EndingAnswered && !r.Ran:
		return Miss{Verdict: VerdictRefused, Cause: r.refusalCause()}
	case r.Ending != EndingAnswered:
		return Miss{Verdict: VerdictFailed, Cause: r.failureCause()}
	case late:
		return Miss{Verdict: VerdictLateAnswer, Cause: r.answerCause(), LateBy: r.Answered - r.Objective}
	case r.pausedLong():
		return Miss{Verdict: VerdictLongPause, Cause: r.pauseCause(), LateBy: r.Pause.Length - r.PauseObjective}
	default:
		return Miss{Verdict: VerdictInTime}
	}
}

func (r *Record) pausedLong() bool {
	return r.PauseObjective > 0 && r.Pause.Length > r.PauseObjective
}

// left returns the miss of a caller that disconnected. It has a cause only if the caller had been
// kept waiting for longer than the objective.
func (r *Record) left(late bool) Miss {
	if late && !r.Begun {
		return Miss{Verdict: VerdictLeft, Cause: r.answerCause(), LateBy: r.Answered - r.Objective}
	}
	return Miss{Verdict: VerdictLeft}
}

// refusalCause returns why a request did not run.
func (r *Record) refusalCause() Cause {
	switch r.Ending {
	case EndingNoPermit:
		return CauseEndpointWait
	case EndingUnready:
		return CauseAdmission
	case EndingBlocked:
		return CauseBlocked
	case EndingEndpointFailed:
		return CauseEndpointFailure
	case EndingExpired:
		return r.answerCause()
	default:
		return CauseCapacity
	}
}

// failureCause returns why a request that ran was not answered.
func (r *Record) failureCause() Cause {
	switch {
	case r.Ending == EndingBlocked:
		return CauseBlocked
	case r.Ending == EndingExpired && r.Begun && (r.pausedLong() || r.Answered <= r.Objective):
		return r.pauseCause()
	case r.Ending == EndingExpired:
		return r.answerCause()
	default:
		return CauseEndpointFailure
	}
}

// phase is a part of the time to the answer.
type phase struct {
	cause Cause
	took  time.Duration
}

// answerCause returns the cause of the longest phase before the answer. What is left of the time
// was spent at the endpoint.
func (r *Record) answerCause() Cause {
	phases := [...]phase{
		{CauseAdmission, r.Admission},
		{CauseEndpointWait, r.EndpointWait},
		{CausePrefillWait, r.PrefillWait},
		{CauseEndpointFailure, r.Retries},
		{CauseDelivery, r.Delivery},
		{CauseOwnPrefill, r.OwnPrefill},
	}
	rest := r.Answered
	longest := phases[0]
	for _, p := range phases {
		rest -= p.took
		if p.took > longest.took {
			longest = p
		}
	}
	if longest.took > rest {
		return longest.cause
	}
	return r.endpointCause(rest)
}

// endpointCause returns the cause of a delay at the endpoint, as far as it was known.
func (r *Record) endpointCause(delay time.Duration) Cause {
	switch {
	case r.Known.Slowdown > 1:
		return CauseSlowdown
	case r.Known.Slots > 0 && r.Known.Requests >= r.Known.Slots:
		return CauseSlots
	case explains(r.Known.Prefill, delay):
		return CausePrefill
	default:
		return CauseLoadUnknown
	}
}

// pauseCause returns the cause of the longest pause.
func (r *Record) pauseCause() Cause {
	delay := r.Pause.Length
	if r.pausedLong() {
		delay -= r.PauseObjective
	}
	switch {
	case r.Pause.Resumed:
		return CauseResume
	case explains(r.Pause.Delivery, r.Pause.Length):
		return CauseDelivery
	case r.Pause.Slowdown > 1:
		return CauseSlowdown
	case r.Pause.Prefill > 0 && explains(r.Pause.Prefill, delay):
		return CausePrefill
	default:
		return CauseLoadUnknown
	}
}

// explains reports whether a known part is at least half of a delay.
func explains(known, delay time.Duration) bool { return 2*known >= delay }
