package lavstream

import (
	"io"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// ErrCallerGone means that the caller can no longer receive the answer.
var ErrCallerGone = errors.New("caller has gone")

// EndpointFrame is a frame and the name of the endpoint that sent it.
type EndpointFrame struct {
	lavengine.Frame
	Endpoint string
}

// EmitFunc sends a frame to the caller.
type EmitFunc func(frame EndpointFrame) error

// Delivery tracks how much of one answer the caller has received. It delivers
// each token once and in order.
type Delivery struct {
	emit EmitFunc
	// Tokens is the number of tokens that were delivered, and Text is their
	// text.
	Tokens int
	Text   []byte
	// complete is true after the final frame.
	complete bool
}

// NewDelivery returns the Delivery of an answer whose first tokens the caller
// has already received.
func NewDelivery(tokens int, emit EmitFunc) *Delivery { return &Delivery{Tokens: tokens, emit: emit} }

// deliverFrame delivers one frame, which must start at the next token.
func (d *Delivery) deliverFrame(frame EndpointFrame) error {
	if frame.Offset != d.Tokens {
		return errors.Mark(errors.Newf("frame at token offset %d, want %d", frame.Offset, d.Tokens), lavengine.ErrBroken)
	}
	if err := d.emit(frame); err != nil {
		return lavstep.Wrap(errors.Mark(err, ErrCallerGone), lavstep.CallerWrite, "")
	}
	d.Tokens += frame.Tokens
	d.Text = append(d.Text, frame.Text...)
	d.complete = frame.Final
	return nil
}

// deliverAll delivers the frames of a stream until its end. It calls onFrame
// before each frame.
func (d *Delivery) deliverAll(stream lavengine.Stream, endpoint string, onFrame func()) error {
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) && d.complete {
			return nil
		}
		if err != nil {
			return err
		}
		onFrame()
		if err := d.deliverFrame(EndpointFrame{Frame: frame, Endpoint: endpoint}); err != nil {
			return err
		}
	}
}
