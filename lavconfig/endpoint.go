package lavconfig

import (
	"net/netip"
	"time"
)

// Endpoint is what an endpoint says of itself in its entry.
type Endpoint struct {
	// ID names the endpoint; together with Born it names one life of it.
	ID            string
	StartedAt          time.Time
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	// Leaving endpoints finish what they have and take no more.
	Leaving bool
	// ColdFor is how much longer the endpoint was cold as the entry was
	// written.
	ColdFor time.Duration
}

// Incarnation names one life of an endpoint.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// StartedAt is the start in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
}

// Incarnation returns the name of this life.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, StartedAt: e.StartedAt.UnixMilli()} }
