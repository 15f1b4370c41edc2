package lavrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// streamBuffer holds some events.
const streamBuffer = 4 << 10

// errCallerGone means that the caller takes no more bytes.
var errCallerGone = errors.New("caller has left")

// passStream passes a stream's events on as they come.
func (t *task) passStream(ctx context.Context, c *choice, answer *lavconn.Response, head platform.Answer) (Outcome, error) {
	defer func() { answer.Close(head.KeepIdle) }()
	// A run that goes on begins with a whole event.
	t.events.drop()
	patience, _ := t.patience(t.runs)
	buffer := make([]byte, streamBuffer)
	started := false
	var before time.Time
	for {
		if patience > 0 {
			if err := answer.SetReadTimeout(patience); err != nil {
				return 0, errors.Mark(err, lavconn.ErrResponseLost)
			}
		}
		n, err := answer.Read(buffer)
		if n > 0 {
			whole := t.events.feed(buffer[:n])
			if len(whole) > 0 {
				now := time.Now()
				if started {
					if c.run.Event(now.Sub(before)) {
						t.askPace(ctx, c.endpoint)
					}
				} else {
					started = true
					t.stopPace()
					c.run.Started()
				}
				before = now
			}
			if t.write(answer, whole) != nil {
				return OutcomeLeft, nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return t.endStream(answer)
		case err != nil:
			return 0, t.broken(ctx, err)
		}
	}
}

// broken returns the error of a stream that broke off.
func (t *task) broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.CombineErrors(err, ctx.Err())
	}
	return err
}

// endStream passes on what follows the last event of a stream that has ended.
func (t *task) endStream(answer *lavconn.Response) (Outcome, error) {
	rest := t.events.held
	t.events.drop()
	if t.write(answer, rest) != nil {
		return OutcomeLeft, nil
	}
	t.answer(answer)
	return OutcomeDone, nil
}

// answer sends the head of the first answer, once.
func (t *task) answer(answer *lavconn.Response) {
	if t.begun {
		return
	}
	t.begun = true
	platform.CopyAnswer(t.out.Header(), answer.Header)
	t.out.WriteHeader(answer.Status)
}

// write passes bytes on at once.
func (t *task) write(answer *lavconn.Response, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	t.answer(answer)
	t.trace.event(time.Now(), t.call.Arrived)
	if _, err := t.out.Write(p); err != nil {
		return errors.CombineErrors(errCallerGone, err)
	}
	if err := http.NewResponseController(t.out).Flush(); err != nil {
		return errors.CombineErrors(errCallerGone, err)
	}
	return nil
}
