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

// MaxBytes is the maximum size of a datagram in bytes.
const MaxBytes = 32 << 10

// formatVersion is the version of the message format. Messages of any other version are
// counted as malformed and dropped.
const formatVersion = 1

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind identifies the type of the body of a message.
type Kind int

// Kinds of messages.
const (
	kindNone Kind = iota
	// KindWork is a report on the running work of one host.
	KindWork
	// KindTotals is the sum of the running work over all hosts.
	KindTotals
	// KindPermitRequest asks for permits to send requests, and KindPermitResponse grants them.
	KindPermitRequest
	KindPermitResponse
	// KindScheduleRequest asks a scheduler where a prompt should run, KindScheduleResponse says
	// so, and KindScheduleCancel takes a question back.
	KindScheduleRequest
	KindScheduleResponse
	KindScheduleCancel
	// KindGrants tells a scheduler which of its decisions the totals contain.
	KindGrants
	// KindShareRecall asks the owners of shares to lend them, KindShareLoan lends them, and
	// KindShareReturn gives them back.
	KindShareRecall
	KindShareLoan
	KindShareReturn
)

// message is the content of a datagram.
type message struct {
	Version int             `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Handler processes the body of a received message.
type Handler func(body []byte)

// Socket sends and receives datagrams over one network connection.
type Socket struct {
	conn     net.PacketConn
	handlers map[Kind]Handler

	sent, sentBytes, received, malformed, sendFailed tally.Counter
}

// New returns a Socket over conn. It reports its metrics in the subscope "datagrams" of
// scope.
func New(conn net.PacketConn, scope tally.Scope) *Socket {
	s := scope.SubScope("datagrams")
	return &Socket{
		conn:       conn,
		handlers:   make(map[Kind]Handler),
		sent:       s.Counter("sent"),
		sentBytes:  s.Counter("sent_bytes"),
		received:   s.Counter("received"),
		malformed:  s.Counter("malformed"),
		sendFailed: s.Counter("failed"),
	}
}

// Handle sets the handler for messages of kind k. It must not be called after Serve.
// Messages without a handler are ignored.
func (s *Socket) Handle(k Kind, h Handler) { s.handlers[k] = h }

// Encode encodes a message, which Send can then send to any number of hosts. It returns
// an error if the message is larger than MaxBytes.
func Encode(k Kind, body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, lavstep.Wrap(err, lavstep.MeshSend, k.String())
	}
	data, err = cbor.Marshal(message{Version: formatVersion, Kind: k, Body: data})
	if err == nil && len(data) > MaxBytes {
		err = errors.Newf("message of %d bytes exceeds the limit of %d", len(data), MaxBytes)
	}
	return data, lavstep.Wrap(err, lavstep.MeshSend, k.String())
}

// Send sends an encoded message. An error is only counted, because the sender has to
// tolerate lost messages anyway.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	if _, err := s.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		s.sendFailed.Inc(1)
		return
	}
	s.sent.Inc(1)
	s.sentBytes.Inc(int64(len(data)))
}

// Serve receives messages and calls their handlers, one at a time, until the context
// ends. It then closes the connection.
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
		s.dispatch(buffer[:n])
	}
}

// decMode limits the number of elements and the nesting of a message, as a defense against
// malformed datagrams. The limits are above those of any valid message.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 1 << 14, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes the body of a message into v.
func Decode(body []byte, v any) error { return decMode.Unmarshal(body, v) }

// dispatch decodes a datagram and calls the handler of its kind.
func (s *Socket) dispatch(data []byte) {
	var m message
	if err := decMode.Unmarshal(data, &m); err != nil || m.Version != formatVersion {
		s.malformed.Inc(1)
		return
	}
	if handler := s.handlers[m.Kind]; handler != nil {
		handler(m.Body)
	}
}
