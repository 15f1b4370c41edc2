package lavfake

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// stream is one prompt at an engine. The engine's lock guards its fields.
type stream struct {
	submission  lavengine.Submission
	incarnation lavengine.Incarnation
	// promptHash is the hash of the whole prompt, including the text before the
	// checkpoint. It determines the answer.
	promptHash  uint64
	prefixes    []lavrequest.PrefixHash
	prefillLeft int
	written     int
	// answerTokens is the total number of tokens in the answer. byteLimit is
	// the length of the answer in bytes if a stop text ends it, and 0
	// otherwise.
	answerTokens int
	byteLimit    int
	// reservation is the reserved memory that the stream uses. It is nil if the
	// stream uses the engine's unreserved memory.
	reservation *reservation
	// prefillOnly is true for a segment that is prefilled into a reservation
	// and produces no answer.
	prefillOnly bool
	changed     chan struct{}
	aborted     bool
	endedAt     time.Time
}

// newStream returns the stream for a submission, without adding it to the
// batch.
func (e *Engine) newStream(sub lavengine.Submission, now time.Time) (*stream, error) {
	if !isLoaded(e.models, sub.Model, now) || sub.Adapter != "" && !isLoaded(e.adapters, sub.Adapter, now) {
		return nil, lavengine.ErrGone
	}
	s := &stream{
		submission:  sub,
		incarnation: e.incarnation,
		prefixes:    lavrequest.HashPrefixes(sub.Prompt),
		prefillLeft: countTokens(sub.Prompt),
		written:     sub.Offset,
		changed:     make(chan struct{}),
	}
	start, err := e.findCheckpoint(sub.Checkpoint)
	if err != nil {
		return nil, err
	}
	if sub.Checkpoint != "" {
		// The prefix hashes do not cover the text before the checkpoint, so
		// they must not be used as cache keys.
		s.prefixes = nil
	}
	s.promptHash = start.extend(sub.Prompt).sum()
	s.answerTokens, s.byteLimit = answerLength(s.promptHash, sub.MaxTokens, sub.Stop)
	if sub.Reservation == "" {
		return s, nil
	}
	if s.reservation = e.reservations[sub.Reservation]; s.reservation == nil {
		return nil, lavengine.ErrGone
	}
	return s, s.reservation.use(s.memoryTokens())
}

// notify wakes up the goroutines that wait for a change of the stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) advanceAnswer(tokens int) {
	if s.prefillOnly {
		return
	}
	s.written = min(s.written+tokens, s.answerTokens)
	s.notify()
}

// done returns true if the stream needs no more batch iterations.
func (s *stream) done() bool {
	if s.prefillOnly {
		return s.prefillLeft == 0
	}
	return s.written >= s.answerTokens
}

// memoryTokens returns the memory that the stream needs, in tokens.
func (s *stream) memoryTokens() int { return countTokens(s.submission.Prompt) + s.submission.MaxTokens }

// unreservedTokens returns the memory that the stream needs outside a
// reservation, in tokens.
func (s *stream) unreservedTokens() int {
	if s.reservation != nil {
		return 0
	}
	return s.memoryTokens()
}

// awaitTokens waits until the answer has more than offset tokens and returns
// the number of tokens. At a heartbeat it returns offset instead. It returns
// false if the stream is aborted or ctx ends.
func (e *Engine) awaitTokens(ctx context.Context, s *stream, offset int) (written int, ok bool) {
	heartbeatDue, stop := heartbeatTimer(e.settings.Heartbeat)
	defer stop()
	for {
		e.mu.Lock()
		written, aborted, changed := s.written, s.aborted, s.changed
		e.mu.Unlock()
		if aborted {
			return 0, false
		}
		if written > offset {
			return written, true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-heartbeatDue:
			return offset, true
		case <-changed:
		}
	}
}

// heartbeatTimer returns a channel that fires once after interval, or a nil
// channel, which never fires, if interval is not positive. It also returns a
// function that stops the timer.
func heartbeatTimer(interval time.Duration) (<-chan time.Time, func()) {
	if interval <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(interval)
	return timer.C, func() { timer.Stop() }
}
