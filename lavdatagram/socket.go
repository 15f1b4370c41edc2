package lavdatagram

import (
	"context"
	"net"
	"net/netip"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"
)

// MaxBytes bounds a datagram.
const MaxBytes = 32 << 10

// version is the version of the message format.
const version = 1

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind says what a message is about.
type Kind int

// The kinds.
const (
	kindNone Kind = iota
	// KindWork tells what a host has running.
	KindWork
	// KindTotals tells what all hosts have running.
	KindTotals
)

// message is a datagram.
type message struct {
	Version int             `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Handler takes the body of a message.
type Handler func(body []byte)

// Socket sends and receives datagrams.
type Socket struct {
	conn     net.PacketConn
	handlers map[Kind]Handler

	sent, sentBytes, received, malformed, failed tally.Counter
}

// New returns a socket over conn that counts in scope.
func New(conn net.PacketConn, scope tally.Scope) *Socket {
	s := scope.SubScope("datagrams")
	return &Socket{
		conn:      conn,
		handlers:  make(map[Kind]Handler),
		sent:      s.Counter("sent"),
		sentBytes: s.Counter("sent_bytes"),
		received:  s.Counter("received"),
		malformed: s.Counter("malformed"),
		failed:    s.Counter("failed"),
	}
}

// Handle sets the handler of a kind. All are set before Serve.
func (s *Socket) Handle(k Kind, h Handler) { s.handlers[k] = h }

// Encode returns a message to be sent, perhaps to many.
func Encode(k Kind, body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, lavstep.Wrap(err, lavstep.MeshSend, k.String())
	}
	data, err = cbor.Marshal(message{Version: version, Kind: k, Body: data})
	if err == nil && len(data) > MaxBytes {
		err = errors.Newf("message of %d bytes is over %d", len(data), MaxBytes)
	}
	return data, lavstep.Wrap(err, lavstep.MeshSend, k.String())
}

// Send sends an encoded message. One that can't be sent is counted as if it had
// been lost.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	if _, err := s.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		s.failed.Inc(1)
		return
	}
	s.sent.Inc(1)
	s.sentBytes.Inc(int64(len(data)))
}

// Serve hands received messages to their handlers until the context ends.
func (s *Socket) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxBytes)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return lavstep.Wrap(err, lavstep.MeshReceive, "")
		}
		s.received.Inc(1)
		s.take(buffer[:n])
	}
}

// decoding refuses what a well-meaning peer never sends.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 1 << 14, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode reads a message's body into v.
func Decode(body []byte, v any) error { return decoding.Unmarshal(body, v) }

func (s *Socket) take(data []byte) {
	var m message
	if err := decoding.Unmarshal(data, &m); err != nil || m.Version != version {
		s.malformed.Inc(1)
		return
	}
	if handler := s.handlers[m.Kind]; handler != nil {
		handler(m.Body)
	}
}
