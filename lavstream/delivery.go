package lavstream

import (
	"io"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// ErrCallerGone means that the caller takes no more of his answer.
var ErrCallerGone = errors.New("caller has gone")

// EndpointFrame is a frame with the endpoint that it came from.
type EndpointFrame struct {
	lavengine.Frame
	Endpoint string
}

// EmitFunc delivers a piece to the caller.
type EmitFunc func(p EndpointFrame) error

// Delivery is what has been delivered of one answer. Each token is delivered
// once and in order.
type Delivery struct {
	emit EmitFunc
	// Tokens and Text are what the caller has.
	Tokens int
	Text   []byte
	final  bool
}

// NewDelivery returns the delivery of an answer of which the caller has that
// many tokens already.
func NewDelivery(tokens int, emit EmitFunc) *Delivery { return &Delivery{Tokens: tokens, emit: emit} }

// take delivers one piece.
func (d *Delivery) take(p EndpointFrame) error {
	if p.Offset != d.Tokens {
		return errors.Mark(errors.Newf("frame at %d, want %d", p.Offset, d.Tokens), lavengine.ErrBroken)
	}
	if err := d.emit(p); err != nil {
		return lavstep.Wrap(errors.Mark(err, ErrCallerGone), lavstep.CallerWrite, "")
	}
	d.Tokens += p.Tokens
	d.Text = append(d.Text, p.Text...)
	d.final = p.Final
	return nil
}

// drain delivers the frames of a stream to its end.
func (d *Delivery) drain(stream lavengine.Stream, endpoint string, first func()) error {
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) && d.final {
			return nil
		}
		if err != nil {
			return err
		}
		first()
		if err := d.take(EndpointFrame{Frame: frame, Endpoint: endpoint}); err != nil {
			return err
		}
	}
}
