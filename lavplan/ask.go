package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// AskID identifies a question of a host.
type AskID struct {
	Host   string
	Number uint64
}

// Ask is the question of a host where a prompt should run.
type Ask struct {
	ID     AskID
	Prompt Prompt
	// Arrived is when the prompt arrived at the host, and GiveUp when the host stops waiting.
	Arrived, GiveUp time.Time
	// Excluded are endpoints that the host may not use now.
	Excluded map[lavconfig.Incarnation]bool
}

// View is the endpoints of the service as the scheduler's host knows them, without what the
// scheduler has placed and their hosts haven't reported.
type View struct {
	Engine     *lavconfig.Engine
	Endpoints  []lavconfig.Incarnation
	Candidates []Candidate
	Absence    Absence
}

// Decision is the answer to an Ask.
type Decision struct {
	ID AskID
	// Grant numbers the placements for a host, beginning with 1. It is zero if the prompt is
	// refused.
	Grant uint64
	// Primary and Helpers are the endpoints of the Plan.
	Primary lavconfig.Incarnation
	Helpers []lavconfig.Incarnation
	Plan    Plan
	// RetryAfter is when the caller of a refused prompt should come back.
	RetryAfter time.Duration
}
