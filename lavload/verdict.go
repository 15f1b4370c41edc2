package lavload

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict classifies how a request ended for its caller.
type Verdict int

// Verdicts of a request.
const (
	// VerdictFailed means that the caller received an error or the outcome
	// Unknown before the deadline.
	VerdictFailed Verdict = iota
	// VerdictAnswered means that the caller received the complete answer before
	// the deadline.
	VerdictAnswered
	// VerdictRefused means that the caller learned before the deadline that the
	// request was not run.
	VerdictRefused
	// VerdictLate means that the caller received neither an answer nor an error
	// before the deadline.
	VerdictLate
	// VerdictIncomplete means that the answer was marked as complete but was
	// truncated.
	VerdictIncomplete
	// VerdictMisdelivered means that the answer doesn't match the request, for
	// example because it belongs to another one.
	VerdictMisdelivered
	verdictEnd
)

// Verdicts returns all verdicts in order.
func Verdicts() []Verdict {
	all := make([]Verdict, 0, verdictEnd)
	for v := range verdictEnd {
		all = append(all, v)
	}
	return all
}
