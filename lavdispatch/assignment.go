package lavdispatch

import (
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// Options restrict the endpoints for a request.
type Options struct {
	// Avoid names endpoints on which the request has failed.
	Avoid []string
	// Alone marks a request that is suspected of crashing endpoints. It does
	// not share an endpoint with another such request.
	Alone bool
}

// Assignment assigns a request to an endpoint. Its owner must call FirstToken
// when the answer begins, and Done when it ends.
type Assignment struct {
	Endpoint lavendpoint.Endpoint
	Credit   lavcredit.Credit
	// Priority is the scheduling priority at the endpoint; lower values are
	// scheduled first.
	Priority   int
	placement  *lavroute.PlacementRequest
	startedAt  time.Time
	dispatcher *Dispatcher
	doneOnce   sync.Once
	// firstTokenAt is the time of the first token, guarded by the dispatcher's
	// lock.
	firstTokenAt time.Time
}

// Request returns the assigned request.
func (a *Assignment) Request() *lavrequest.Request { return a.placement.Request }

// FirstToken reports that the endpoint has finished the prefill. It is
// idempotent.
func (a *Assignment) FirstToken() { a.dispatcher.firstToken(a) }

// ReportPossibleRestart reports that the connection to the endpoint broke or
// that an answer came from another incarnation, so the endpoint may have
// restarted. This host dispatches no new work to it until the next load report.
func (a *Assignment) ReportPossibleRestart() {
	a.dispatcher.config.Credits.Suspend(time.Now(), a.Endpoint.Name)
}

// Done ends the assignment and returns its credit. It is idempotent.
func (a *Assignment) Done() { a.doneOnce.Do(func() { a.dispatcher.done(a) }) }
