package lavrelay

//go:generate stringer -type=Outcome -trimprefix=Outcome -output=outcome_string.go

// Outcome is how a call ended.
type Outcome int

// The outcomes.
const (
	// again means that the call goes on with another attempt.
	again Outcome = iota
	// OutcomeDone means that the caller has an endpoint's whole answer.
	OutcomeDone
	// OutcomePassed means that the caller has an endpoint's own failure.
	OutcomePassed
	// OutcomeUnknown means that the request may have run and no whole answer
	// came.
	OutcomeUnknown
	// OutcomeLate means that the caller's time is over.
	OutcomeLate
	// OutcomeLeft means that the caller has left.
	OutcomeLeft
	// OutcomeFull means that no endpoint has room.
	OutcomeFull
	// OutcomeNoEndpoint means that the service is not known.
	OutcomeNoEndpoint
	// OutcomeBudget means that the service's retry budget is used up.
	OutcomeBudget
	// OutcomeSuspect means that the request kills the endpoints that run it.
	OutcomeSuspect
	// OutcomeUnready means that this host may not act on what it knows.
	OutcomeUnready
)
