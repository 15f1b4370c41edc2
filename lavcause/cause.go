package lavcause

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go
//go:generate stringer -type=Cause -trimprefix=Cause -output=cause_string.go

// Verdict is what became of a request, by the objectives of its route.
type Verdict int

// The verdicts.
const (
	// VerdictUnknown is that of a log line that doesn't say.
	VerdictUnknown Verdict = iota
	// VerdictInTime means that the request was answered within all objectives.
	VerdictInTime
	// VerdictLateAnswer means that the answer, or the first event of a stream, came late.
	VerdictLateAnswer
	// VerdictLongPause means that a pause between two events was too long.
	VerdictLongPause
	// VerdictRefused means that the request has not run.
	VerdictRefused
	// VerdictFailed means that the request may have run, but was not answered.
	VerdictFailed
	// VerdictLeft means that the caller disconnected.
	VerdictLeft
	verdictCount
)

// Cause is where most of the time of a request went, or why it was refused.
type Cause int

// The causes.
const (
	// CauseNone means that nothing was missed.
	CauseNone Cause = iota
	// CauseNotRecorded is that of a log line that doesn't say.
	CauseNotRecorded
	// CauseAdmission means that the host had not read and admitted the request, or could not
	// confirm the state on which it acts.
	CauseAdmission
	// CauseEndpointWait means that the request waited at the host for an endpoint that may receive
	// it, such as for a permit.
	CauseEndpointWait
	// CausePrefillWait means that the request waited at the host for the prefill of others.
	CausePrefillWait
	// CauseSlots means that the endpoint was known to have no free slot.
	CauseSlots
	// CausePrefill means that the endpoint was known to prefill other prompts.
	CausePrefill
	// CauseOwnPrefill means that the prefill of the prompt itself took most of the time.
	CauseOwnPrefill
	// CauseSlowdown means that the endpoint had reported that it is slow.
	CauseSlowdown
	// CauseEndpointFailure means that an endpoint failed, left or refused the request.
	CauseEndpointFailure
	// CauseResume means that the stream broke off and went on at another endpoint.
	CauseResume
	// CauseDelivery means that the caller, or the way to it, took the response slowly.
	CauseDelivery
	// CauseCapacity means that no endpoint could have answered in time.
	CauseCapacity
	// CauseBlocked means that the request crashes endpoints.
	CauseBlocked
	// CauseLoadUnknown means that the endpoint took longer than all that the host knew explains.
	CauseLoadUnknown
	causeCount
)

// Causes returns all causes of a miss.
func Causes() []Cause {
	var causes []Cause
	for c := CauseNone + 1; c < causeCount; c++ {
		causes = append(causes, c)
	}
	return causes
}

// UnmarshalText accepts the name of a verdict. The names of later versions are unknown.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = VerdictUnknown
	for known := VerdictUnknown; known < verdictCount; known++ {
		if known.String() == string(text) {
			*v = known
		}
	}
	return nil
}

// UnmarshalText accepts the name of a cause. The names of later versions are not recorded.
func (c *Cause) UnmarshalText(text []byte) error {
	*c = CauseNotRecorded
	for known := CauseNone; known < causeCount; known++ {
		if known.String() == string(text) {
			*c = known
		}
	}
	return nil
}

// MarshalText returns the name of the verdict.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// MarshalText returns the name of the cause.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
