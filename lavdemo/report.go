package lavdemo

import (
	"time"

	"lavenderrack.example/lavenderrack/lavload"
)

// Bounds of the guarantees on time.
const (
	// withdrawalBound is the longest time after the start of a withdrawal at
	// which new work may still start on a withdrawn endpoint.
	withdrawalBound = 5 * time.Second
	// inForceBound is the longest time from the publication of a release until
	// it is in force at all entry hosts.
	inForceBound = 5 * time.Second
)

// Report holds the results of a run. Fields whose names end in Seconds, and the
// quantiles, are in seconds.
type Report struct {
	// Seed is the random seed of the run.
	Seed uint64
	// Admitted counts the requests that were not refused, whatever their result.
	// Answered counts those with a complete answer by the deadline, FailedInTime
	// those that failed by the deadline.
	Admitted     int
	Answered     int
	Refused      int
	FailedInTime int
	// Late counts requests that had neither an answer nor an error by their
	// deadline.
	Late int
	// Incomplete counts answers that ended without an error before their last
	// token.
	Incomplete int
	// Misdelivered counts answers whose text is not that of the request.
	Misdelivered int

	OrdersSent            int
	OrdersRunMoreThanOnce int
	// OrdersLost counts orders that were answered Done but did not run.
	OrdersLost int
	// FalseNotRun counts requests that were answered NotRun but ran.
	FalseNotRun int

	// ColdOverloads counts how often an engine that was warming up got more
	// tokens than its limit for that phase.
	ColdOverloads int
	// LeakedReservations counts the streams and reservations that still hold KV
	// cache memory at the end of the run.
	LeakedReservations int
	// NewWorkAfterTakeOut counts the requests that started on a withdrawn
	// endpoint, or on one of a leaving host, later than 5 s after the start of
	// the withdrawal.
	NewWorkAfterTakeOut int
	// TakeOutSeconds is the longest time from the start of a withdrawal to the
	// last start of new work on its endpoints.
	TakeOutSeconds float64
	// ReleaseInForceSeconds is the longest time from the publication of a
	// release until all running entry hosts apply it.
	ReleaseInForceSeconds float64
	// ReleaseReverts counts how often an entry host that applied a release no
	// longer applied it at a later probe.
	ReleaseReverts int
	// CutOffByPlannedStop counts the connections that broke because an entry
	// host was restarted as planned.
	CutOffByPlannedStop int

	// FirstToken holds the quantiles of the time to first token by length class.
	FirstToken map[string]lavload.Quantiles
	// Unanswered counts, by reason, the requests that ended with an error or a
	// refusal.
	Unanswered map[string]int
	// Broken lists the guarantees that were violated, by field name.
	Broken []string
}

// listBroken sets Broken to the guarantees that the results violate.
func (r *Report) listBroken() {
	r.Broken = []string{}
	for _, p := range []struct {
		name   string
		broken bool
	}{
		{"Late", r.Late > 0},
		{"Incomplete", r.Incomplete > 0},
		{"Misdelivered", r.Misdelivered > 0},
		{"OrdersRunMoreThanOnce", r.OrdersRunMoreThanOnce > 0},
		{"OrdersLost", r.OrdersLost > 0},
		{"FalseNotRun", r.FalseNotRun > 0},
		{"ColdOverloads", r.ColdOverloads > 0},
		{"LeakedReservations", r.LeakedReservations > 0},
		{"NewWorkAfterTakeOut", r.NewWorkAfterTakeOut > 0},
		{"TakeOutSeconds", r.TakeOutSeconds > withdrawalBound.Seconds()},
		{"ReleaseInForceSeconds", r.ReleaseInForceSeconds > inForceBound.Seconds()},
		{"ReleaseReverts", r.ReleaseReverts > 0},
		{"CutOffByPlannedStop", r.CutOffByPlannedStop > 0},
		{"Answered", r.Answered == 0},
	} {
		if p.broken {
			r.Broken = append(r.Broken, p.name)
		}
	}
}
