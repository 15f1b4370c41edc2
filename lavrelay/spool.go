package lavrelay

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpressure"

	"github.com/cockroachdb/errors"
)

const (
	// spoolWriteBytes is the most that is written to a caller at once, so that the progress
	// of one who reads slowly shows.
	spoolWriteBytes = 16 << 10
	// spoolWriteTimeout is how long a single write may take after the call's deadline. A caller
	// who has accepted less by then is cut off.
	spoolWriteTimeout = 5 * time.Second
	// spoolRenewal is how long before the end of a write timeout the next write renews it.
	spoolRenewal = 2 * time.Second
	// roomInterval is how often a response that is held back checks whether memory has been
	// freed by others.
	roomInterval = 100 * time.Millisecond
)

// errCallerSlow means that a caller was cut off because it did not read its response.
var errCallerSlow = errors.New("caller does not read its response")

// spool holds the part of a response that its caller has not accepted yet, and writes it to the
// caller. The response is read from its endpoint meanwhile, as far as the hold of the call allows.
// Its methods must not be called concurrently, apart from run.
type spool struct {
	out  http.ResponseWriter
	hold *lavpressure.Hold
	// flushes is true if the caller gets all bytes at once, as those of a stream.
	flushes bool
	// writeUntil is when a pending write fails at the earliest.
	writeUntil time.Time
	// isCut is true once the caller is to be cut off.
	isCut atomic.Bool

	// ready wakes the writer and room the reader of the response. Both hold one signal.
	ready, room chan struct{}
	// ended receives the result of the writer, which is nil if it has written everything.
	ended   chan error
	started bool

	mu     sync.Mutex
	queue  [][]byte
	closed bool
	err    error
}

// newSpool returns an empty spool for the response to a call. Until the deadline, only the server
// limits the time of a write.
func newSpool(out http.ResponseWriter, c *Call) *spool {
	return &spool{
		out:        out,
		hold:       c.Hold,
		flushes:    c.Route.Kind == lavconfig.KindStreaming,
		writeUntil: c.Deadline,
		ready:      make(chan struct{}, 1),
		room:       make(chan struct{}, 1),
		ended:      make(chan error, 1),
	}
}

// put queues bytes for the caller and keeps them. The head of the response must have been sent.
func (s *spool) put(ctx context.Context, p []byte) error {
	if len(p) == 0 {
		return s.failure()
	}
	if !s.started {
		s.started = true
		s.hold.OnCut(s.cut)
		// The rest of a response is delivered also after the deadline.
		go func() { s.ended <- s.run(context.WithoutCancel(ctx)) }()
	}
	s.hold.Queue(int64(len(p)))
	s.mu.Lock()
	s.queue = append(s.queue, p)
	err := s.err
	s.mu.Unlock()
	signal(s.ready)
	return err
}

// signal leaves a signal in a channel that holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// cut makes the pending write to the caller fail, and all further ones.
func (s *spool) cut() {
	s.isCut.Store(true)
	// A writer without deadlines, as in tests, fails at its next write.
	_ = http.NewResponseController(s.out).SetWriteDeadline(time.Unix(1, 0))
}

// run writes to the caller until the spool is closed and empty, or a write fails.
func (s *spool) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p, closed := s.next()
		if p == nil && closed {
			return nil
		}
		if p == nil {
			select {
			case <-ctx.Done():
			case <-s.ready:
			}
			continue
		}
		if err := s.write(p); err != nil {
			s.fail(err)
			return err
		}
	}
	return ctx.Err()
}

// next removes and returns the first bytes of the queue, or nil if it is empty.
func (s *spool) next() (p []byte, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, s.closed
	}
	p = s.queue[0]
	if len(p) > spoolWriteBytes {
		s.queue[0], p = p[spoolWriteBytes:], p[:spoolWriteBytes]
		return p, s.closed
	}
	s.queue[0] = nil
	s.queue = s.queue[1:]
	return p, s.closed
}

// write writes bytes to the caller.
func (s *spool) write(p []byte) error {
	control := http.NewResponseController(s.out)
	if now := time.Now(); s.writeUntil.Sub(now) < spoolRenewal {
		s.writeUntil = now.Add(spoolWriteTimeout)
		// The server's own deadline holds if this one can't be set.
		_ = control.SetWriteDeadline(s.writeUntil)
	}
	if s.isCut.Load() {
		return errCallerSlow
	}
	s.hold.BeginWrite()
	_, err := s.out.Write(p)
	if err == nil && s.flushes {
		err = control.Flush()
	}
	s.hold.EndWrite(int64(len(p)))
	signal(s.room)
	if s.isCut.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.CombineErrors(errCallerSlow, err)
	}
	return err
}

// fail drops what is queued, since the caller accepts no more.
func (s *spool) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = errors.CombineErrors(errCallerDisconnected, err)
	s.queue = nil
	signal(s.room)
}

// failure returns why the caller accepts no more, or nil.
func (s *spool) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// heldBack reports whether no more of the response may be read for now.
func (s *spool) heldBack() bool { return s != nil && s.failure() == nil && s.hold.HeldBack() }

// awaitRoom waits until more of the response may be read.
func (s *spool) awaitRoom(ctx context.Context) error {
	for s.heldBack() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.room:
		case <-time.After(roomInterval):
		}
	}
	return s.failure()
}

// finish waits until everything that is queued has been written, or drops it if the caller has
// left.
func (s *spool) finish(left bool) error {
	if !s.started {
		return nil
	}
	if left {
		s.cut()
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	signal(s.ready)
	return <-s.ended
}

// drain delivers what is left of the response once no endpoint is needed any more, and returns the
// outcome for the caller.
func (t *task) drain(o Outcome) Outcome {
	if t.spool == nil {
		return o
	}
	t.call.Body = nil
	t.call.Hold.ReleaseBody()
	err := t.spool.finish(o == OutcomeLeft)
	switch {
	case err == nil || o == OutcomeUnknown || o == OutcomeLate:
		return o
	case errors.Is(err, errCallerSlow) && t.call.Hold.Usage().IsCut:
		return OutcomeSlow
	default:
		return OutcomeLeft
	}
}

// describePressure returns what the call has held, or "" if its caller kept up.
func (t *task) describePressure() string {
	u := t.call.Hold.Usage()
	switch {
	case u.IsCut:
		return fmt.Sprintf("held up to %d bytes for %v, caller cut off after it accepted nothing for %v",
			u.Peak, u.Lasted.Round(pressureTimeUnit), u.CutAfter.Round(pressureTimeUnit))
	case t.unread.longest >= roomInterval:
		return fmt.Sprintf("held up to %d bytes for %v, answer left unread for %v",
			u.Peak, u.Lasted.Round(pressureTimeUnit), t.unread.longest.Round(pressureTimeUnit))
	default:
		return ""
	}
}

// pressureTimeUnit is the unit of times in a call's line.
const pressureTimeUnit = 10 * time.Millisecond
