package lavhost

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpermit"

	"github.com/cespare/xxhash/v2"
)

// boundID identifies what the permits of one endpoint are for.
type boundID uint64

func newBoundID(life lavconfig.Incarnation) boundID {
	return boundID(xxhash.Sum64String(fmt.Sprint(life.ID, "/", life.StartedAt)))
}

// newPooledBoundID is newBoundID for permits to send requests to an endpoint that may be cold.
func newPooledBoundID(life lavconfig.Incarnation) boundID {
	return boundID(xxhash.Sum64String(fmt.Sprint("cold/", life.ID, "/", life.StartedAt)))
}

// ownerKey is the name by which the holder of a bound is chosen. All hosts of a fleet must use the
// same text.
func (b boundID) ownerKey() string { return fmt.Sprintf("permits %x", uint64(b)) }

// permitRequest asks the holder of some bounds for permits.
type permitRequest struct {
	// Number identifies the request, and Host, an incarnation, its sender.
	Number uint64       `cbor:"1,keyasint"`
	Host   string       `cbor:"2,keyasint"`
	Items  []permitItem `cbor:"3,keyasint"`
	Pooled []pooledItem `cbor:"4,keyasint,omitempty"`
}

// pooledItem asks for permits to send requests to an endpoint that may be cold.
type pooledItem struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  string
	StartedAt int64
	Held      int
	Used      []time.Duration
	Permits   int
}

func (i pooledItem) life() lavconfig.Incarnation {
	return lavconfig.Incarnation{ID: i.Endpoint, StartedAt: i.StartedAt}
}

// permitItem asks for permits of one bound.
type permitItem struct {
	_     struct{} `cbor:",toarray"`
	Bound boundID
	// PerSecond is the limit that the sender knows, and Age the time since it was stated.
	PerSecond float64
	Age       time.Duration
	Permits   int
}

// permitResponse answers the request with the same number.
type permitResponse struct {
	Number uint64      `cbor:"1,keyasint"`
	Items  []grantItem `cbor:"2,keyasint"`
	Pooled []grantItem `cbor:"3,keyasint,omitempty"`
}

// shareRecall asks a host to lend its shares of some endpoints to the sender.
type shareRecall struct {
	// Number identifies the message, and Host, an incarnation, its sender.
	Number uint64                  `cbor:"1,keyasint"`
	Host   string                  `cbor:"2,keyasint"`
	Lives  []lavconfig.Incarnation `cbor:"3,keyasint"`
}

// shareLoan answers the recall with the same number.
type shareLoan struct {
	Number uint64     `cbor:"1,keyasint"`
	Host   string     `cbor:"2,keyasint"`
	Items  []loanItem `cbor:"3,keyasint"`
}

// loanItem lends the share of one endpoint.
type loanItem struct {
	_        struct{} `cbor:",toarray"`
	Bound    boundID
	Requests int
	Quiet    time.Duration
}

// shareReturn gives shares back to their owner before the loans end.
type shareReturn struct {
	// Host, an incarnation, is the sender.
	Host  string       `cbor:"1,keyasint"`
	Items []returnItem `cbor:"2,keyasint"`
}

// returnItem gives back the share of one endpoint, which was lent for the recall of that number.
type returnItem struct {
	_      struct{} `cbor:",toarray"`
	Life   lavconfig.Incarnation
	Recall uint64
}

// grantItem is the grant for one bound.
type grantItem struct {
	_        struct{} `cbor:",toarray"`
	Bound    boundID
	Permits  int
	Interval time.Duration
	AskAfter time.Duration
}

func (g grantItem) grant() lavpermit.Grant {
	return lavpermit.Grant{Permits: g.Permits, Interval: g.Interval, AskAfter: g.AskAfter}
}
