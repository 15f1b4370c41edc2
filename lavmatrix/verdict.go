package lavmatrix

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict is the outcome of a cell.
type Verdict int

// Verdicts of a cell.
const (
	// VerdictNotReached means that the workload did not reach the step, so the
	// fault was not injected.
	VerdictNotReached Verdict = iota
	// VerdictKept means that the fault was injected and all guarantees held.
	VerdictKept
	// VerdictBroken means that at least one guarantee was violated.
	VerdictBroken
)
