package lavmesh

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

//go:generate stringer -type=Topic -trimprefix=Topic -output=topic_string.go

// Topic says what a message is about, and so what its body is.
type Topic int

// The topics.
const (
	topicNone Topic = iota
	// TopicPing keeps a connection known to be alive.
	TopicPing
	// TopicRelease spreads a release state.
	TopicRelease
	// TopicCredit asks an owner for credits and gives them back.
	TopicCredit
	// TopicLoad spreads load reports from the owner of an endpoint.
	TopicLoad
	// TopicQuarantine spreads fingerprints of requests that kill endpoints.
	TopicQuarantine
	// TopicLedger asks another host for the outcome of a call.
	TopicLedger
	// TopicBurn spreads counts for the burn report.
	TopicBurn
	// TopicReleasePull asks a peer for the release that it has.
	TopicReleasePull
	// TopicMember spreads changes of the view.
	TopicMember
	// TopicView asks a peer for its view.
	TopicView
	// TopicOwner asks the owner of an endpoint for work on it.
	TopicOwner
	// TopicCache spreads cache events of an endpoint.
	TopicCache
	// TopicBeat tells that a host lives, and what it has running.
	TopicBeat
	// TopicNews spreads entries of the store that have changed.
	TopicNews
	// TopicEntries asks a peer for the entries of the store that it knows.
	TopicEntries
	topicEnd
)

// version is the version of the message format.
const version = 1

// MaxMessageBytes bounds a message.
const MaxMessageBytes = 4 << 20

// maxHops bounds the way of a message that is passed on.
const maxHops = 64

// message is what goes over a connection. Its fields are numbered, so that a
// small message stays small.
type message struct {
	Version int   `cbor:"1,keyasint"`
	Topic   Topic `cbor:"2,keyasint"`
	// Call numbers a call; zero is a message that wants no reply.
	Call  uint64 `cbor:"3,keyasint,omitempty"`
	Reply bool   `cbor:"4,keyasint,omitempty"`
	// Failure is the error text of a reply.
	Failure string `cbor:"5,keyasint,omitempty"`
	// Origin, Number, Limit and Hops are set on a message to all: who sent it
	// first, the how-manieth it is, up to where on the ring the receiver must
	// pass it on, and how often it was passed on.
	Origin position        `cbor:"6,keyasint,omitempty"`
	Number uint64          `cbor:"7,keyasint,omitempty"`
	Limit  position        `cbor:"8,keyasint,omitempty"`
	Hops   int             `cbor:"9,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"10,keyasint,omitempty"`
}

// decoding refuses what a well-meaning peer never sends.
var decoding = must(cbor.DecOptions{
	MaxArrayElements: 1 << 17,
	MaxMapPairs:      1 << 17,
	MaxNestedLevels:  16,
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Decode reads a message body into v.
func Decode(body []byte, v any) error { return decoding.Unmarshal(body, v) }

func decodeMessage(data []byte) (message, error) {
	var m message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return m, err
	}
	if m.Version != version {
		return m, errors.Newf("message version %d, want %d", m.Version, version)
	}
	if m.Topic <= topicNone || m.Topic >= topicEnd {
		return m, errors.Newf("unknown topic %d", int(m.Topic))
	}
	if m.Hops < 0 || m.Hops > maxHops {
		return m, errors.Newf("message passed on %d times", m.Hops)
	}
	return m, nil
}
