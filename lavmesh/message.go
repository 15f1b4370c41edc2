package lavmesh

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

//go:generate stringer -type=Topic -trimprefix=Topic -output=topic_string.go

// Topic identifies the subject of a message and thus the type of its body.
type Topic int

// Message topics.
const (
	topicNone Topic = iota
	// TopicPing messages keep a link alive.
	TopicPing
	// TopicRelease broadcasts a release state.
	TopicRelease
	// TopicCredit requests credits from their owner and returns them.
	TopicCredit
	// TopicLoad broadcasts load reports from the owner of an endpoint.
	TopicLoad
	// TopicQuarantine broadcasts fingerprints of requests that crash endpoints.
	TopicQuarantine
	// TopicLedger asks another host for the outcome of a call.
	TopicLedger
	// TopicBurn broadcasts counts for the burn report.
	TopicBurn
	// TopicReleasePull requests a peer's current release.
	TopicReleasePull
	// TopicMember broadcasts changes of the membership view.
	TopicMember
	// TopicView requests a peer's membership view.
	TopicView
	// TopicOwner asks the owner of an endpoint to run work on it.
	TopicOwner
	// TopicCache broadcasts cache events of an endpoint.
	TopicCache
	// TopicBeat broadcasts heartbeats, which include the work in progress on
	// the host.
	TopicBeat
	// TopicNews broadcasts changed entries of the store.
	TopicNews
	// TopicEntries requests the store entries that a peer has.
	TopicEntries
	// TopicSuspicion broadcasts that a host can't be reached.
	TopicSuspicion
	// TopicCrash broadcasts crashes of endpoints, and what shows that a request
	// or an endpoint was wrongly suspected of one.
	TopicCrash
	// TopicLeaving broadcasts that an endpoint has stated that it will leave.
	TopicLeaving
	// TopicLimit broadcasts the limit that an endpoint has stated.
	TopicLimit
	// TopicStatements requests what endpoints have stated.
	TopicStatements
)

// version is the version of the message format.
const version = 1

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 4 << 20

// maxHops is the maximum number of times that a broadcast is forwarded.
const maxHops = 64

// message is the unit of transmission on a link. Its fields are encoded by
// number to keep small messages short.
type message struct {
	Version int   `cbor:"1,keyasint"`
	Topic   Topic `cbor:"2,keyasint"`
	// Call is the number of a call, or zero for a message that expects no
	// reply.
	Call  uint64 `cbor:"3,keyasint,omitempty"`
	Reply bool   `cbor:"4,keyasint,omitempty"`
	// Failure is the error message of a failed call. It is set only in replies.
	Failure string `cbor:"5,keyasint,omitempty"`
	// Origin, Number, Limit and Hops are set on broadcasts. Origin is the ring
	// position of the original sender and Number its sequence number. The
	// receiver must forward the message to all members between itself and Limit
	// on the ring. Hops counts how many times the message was forwarded.
	Origin position        `cbor:"6,keyasint,omitempty"`
	Number uint64          `cbor:"7,keyasint,omitempty"`
	Limit  position        `cbor:"8,keyasint,omitempty"`
	Hops   int             `cbor:"9,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"10,keyasint,omitempty"`
}

// decoding limits the size and nesting of received messages. Messages from a
// correct peer never exceed these limits.
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

// Decode decodes a message body into v.
func Decode(body []byte, v any) error { return decoding.Unmarshal(body, v) }

// decodeMessage decodes a message. It may have a topic of a newer version of the program, for which
// there is no handler.
func decodeMessage(data []byte) (message, error) {
	var m message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return m, err
	}
	if m.Version != version {
		return m, errors.Newf("message version %d, want %d", m.Version, version)
	}
	if m.Topic <= topicNone {
		return m, errors.Newf("invalid topic %d", int(m.Topic))
	}
	if m.Hops < 0 || m.Hops > maxHops {
		return m, errors.Newf("invalid hop count %d", m.Hops)
	}
	return m, nil
}
