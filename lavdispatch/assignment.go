package lavdispatch

import (
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// Options bind the place of a request.
type Options struct {
	// Avoid names endpoints that have failed the request.
	Avoid []string
	// Alone keeps the request from others of its kind: it may kill the
	// endpoint that runs it.
	Alone bool
}

// Assignment sends a request to an endpoint. Its owner calls FirstToken as the
// answer begins and Done once as it ends.
type Assignment struct {
	Endpoint lavendpoint.Endpoint
	Credit   lavcredit.Credit
	// Priority is for the endpoint; lower goes first.
	Priority int
	ask      *lavroute.PlacementRequest
	began    time.Time
	from     *Dispatcher
	ended    sync.Once
	// first is when the answer began; the dispatcher's lock guards it.
	first time.Time
}

// Request returns the request that is assigned.
func (a *Assignment) Request() *lavrequest.Request { return a.ask.Request }

// FirstToken tells that the endpoint has read the prompt. More calls than one
// are the same as one.
func (a *Assignment) FirstToken() { a.from.firstToken(a) }

// ReportPossibleRestart tells that the connection to the endpoint broke, or that an answer came
// from another incarnation: the endpoint may have restarted. This host begins
// nothing more there until it has reported anew.
func (a *Assignment) ReportPossibleRestart() { a.from.parts.Credits.Doubt(time.Now(), a.Endpoint.Name) }

// Done ends the assignment and frees its place. More calls than one are the
// same as one.
func (a *Assignment) Done() { a.ended.Do(func() { a.from.done(a) }) }
