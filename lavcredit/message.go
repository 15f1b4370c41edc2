package lavcredit

import (
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// Lifetimes of allowances.
const (
	// GrantTTL is how long a holder may begin work under an allowance, counted
	// from before it asked.
	GrantTTL = 2 * time.Second
	// RenewInterval is the time between two renewals of a holder's allowances.
	RenewInterval = 500 * time.Millisecond
	// askTimeout is how long a holder waits for the owner's reply. A later reply
	// is dropped.
	askTimeout = time.Second
	// clockDriftDivisor sets the safety margin for clocks that run at different
	// speeds: a duration divided by it.
	clockDriftDivisor = 10
	// maxTransit is the longest time that a request takes to reach an endpoint.
	maxTransit = time.Second
	// grantExpiryWait is the time after an owner's last grant by which every
	// request sent under its grants has arrived.
	grantExpiryWait = GrantTTL + GrantTTL/clockDriftDivisor + maxTransit
)

// Ask is a holder's request for an allowance at one endpoint. All amounts are
// tokens.
type Ask struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	// Have is the allowance that the holder has now, and Used is how much of
	// its work is running.
	Have int
	Used int
	// Want is the allowance that the holder asks for.
	Want int
	// Big is the part of Want that one long request needs at once, or 0 if no
	// long request waits.
	Big int
}

// Grant is the owner's answer to an Ask. The allowance replaces any earlier one.
type Grant struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	// Tokens is the new allowance.
	Tokens int
	// Cold is true if the allowance is based on the limit of a cold endpoint.
	// An allowance based on the limit of a warm endpoint is void once the holder
	// sees that the endpoint is cold.
	Cold bool
	// Fence is the fencing token of the owner's claim to a cold endpoint.
	Fence uint64
}

// Request carries the asks of a holder to one owner.
type Request struct {
	// Number increases with each of the holder's requests to this owner. An
	// owner rejects a request with a lower number than the last one.
	Number uint64
	Asks   []Ask
}

// Reply carries the grants in the order of the asks. An ask for an endpoint that
// the host doesn't know or doesn't own gets no grant.
type Reply struct {
	Grants []Grant
}
