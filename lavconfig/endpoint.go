package lavconfig

import (
	"net/netip"
	"time"
)

// Endpoint is the entry that an endpoint publishes about itself.
type Endpoint struct {
	// ID identifies the endpoint. ID and StartedAt together identify one
	// incarnation.
	ID            string
	StartedAt     time.Time
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	// Leaving endpoints complete their running requests and accept no new ones.
	Leaving bool
	// ColdFor is the remaining duration of the endpoint's warm-up at the time
	// the entry was written.
	ColdFor time.Duration
}

// Incarnation identifies one run of an endpoint, from its start to its end.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// StartedAt is the start time in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
}

// Incarnation returns the identifier of this run of the endpoint.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartedAt: e.StartedAt.UnixMilli()}
}
