package lavrelay

//go:generate stringer -type=Outcome -trimprefix=Outcome -output=outcome_string.go

// Outcome is the result of a call.
type Outcome int

// The outcomes.
const (
	// again means that another attempt follows.
	again Outcome = iota
	// OutcomeDone means that the caller received a complete response from an endpoint.
	OutcomeDone
	// OutcomePassed means that an endpoint's server error was forwarded.
	OutcomePassed
	// OutcomeUnknown means that the request may have run, but no complete response was
	// received.
	OutcomeUnknown
	// OutcomeLate means that the deadline has passed.
	OutcomeLate
	// OutcomeLeft means that the caller disconnected.
	OutcomeLeft
	// OutcomeFull means that no endpoint has capacity for the request.
	OutcomeFull
	// OutcomeNoEndpoint means that the service is unknown.
	OutcomeNoEndpoint
	// OutcomeBudget means that the service's retry budget is exhausted.
	OutcomeBudget
	// OutcomeSuspect means that the request is blocked because it crashes endpoints.
	OutcomeSuspect
	// OutcomeUnready means that this host could not confirm in time that the state on
	// which it acts is current.
	OutcomeUnready
	// OutcomeSlow means that the caller was cut off because it did not read its response while
	// memory was short.
	OutcomeSlow
	// OutcomeLeaving means that this host is leaving and can't end the call.
	OutcomeLeaving
)
