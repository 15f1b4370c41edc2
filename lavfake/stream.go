package lavfake

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// stream is one prompt at an engine. The engine's lock guards it.
type stream struct {
	submission  lavengine.Submission
	incarnation lavengine.Incarnation
	// text is the hash of the whole prompt, from which the answer follows.
	text     uint64
	prefixes []lavrequest.PrefixHash
	toRead   int
	written  int
	// limit is the number of tokens of the whole answer; cut, if not zero, is
	// the number of bytes at which a stop text ends it.
	limit int
	cut   int
	// reservation is the memory that the stream uses, if not its own.
	reservation *reservation
	// prefill is true for a segment that is read into a reservation; nothing
	// is written for it.
	prefill bool
	changed chan struct{}
	dead    bool
	ended   time.Time
}

// open makes the stream of a submission.
func (e *Engine) open(sub lavengine.Submission, now time.Time) (*stream, error) {
	if !loaded(e.models, sub.Model, now) || sub.Adapter != "" && !loaded(e.adapters, sub.Adapter, now) {
		return nil, lavengine.ErrGone
	}
	s := &stream{
		submission:  sub,
		incarnation: e.incarnation,
		prefixes:    lavrequest.HashPrefixes(sub.Prompt),
		toRead:      tokensOf(sub.Prompt),
		written:     sub.Offset,
		changed:     make(chan struct{}),
	}
	from, err := e.checkpoint(sub.Checkpoint)
	if err != nil {
		return nil, err
	}
	if sub.Checkpoint != "" {
		// The prefixes of what follows a checkpoint mean nothing by themselves.
		s.prefixes = nil
	}
	s.text = from.after(sub.Prompt).hash()
	s.limit, s.cut = answerEnd(s.text, sub.MaxTokens, sub.Stop)
	if sub.Reservation == "" {
		return s, nil
	}
	if s.reservation = e.reservations[sub.Reservation]; s.reservation == nil {
		return nil, lavengine.ErrGone
	}
	return s, s.reservation.take(s.size())
}

// wake tells those who wait for the stream.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(tokens int) {
	if s.prefill {
		return
	}
	s.written = min(s.written+tokens, s.limit)
	s.wake()
}

// done reports whether the stream needs no more steps.
func (s *stream) done() bool {
	if s.prefill {
		return s.toRead == 0
	}
	return s.written >= s.limit
}

// size is the memory that the stream takes.
func (s *stream) size() int { return tokensOf(s.submission.Prompt) + s.submission.MaxTokens }

// extra is the memory that the stream takes beside its reservation.
func (s *stream) extra() int {
	if s.reservation != nil {
		return 0
	}
	return s.size()
}

// next waits for answer tokens beyond offset and returns how many there are.
// At a heartbeat it returns offset; alive is false once the stream is dead.
func (e *Engine) next(ctx context.Context, s *stream, offset int) (written int, alive bool) {
	beat, stop := heartbeat(e.settings.Heartbeat)
	defer stop()
	for {
		e.mu.Lock()
		written, dead, changed := s.written, s.dead, s.changed
		e.mu.Unlock()
		if dead {
			return 0, false
		}
		if written > offset {
			return written, true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-beat:
			return offset, true
		case <-changed:
		}
	}
}

// heartbeat returns a channel that fires after that time, or never if it is
// zero.
func heartbeat(every time.Duration) (<-chan time.Time, func()) {
	if every <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(every)
	return timer.C, func() { timer.Stop() }
}
