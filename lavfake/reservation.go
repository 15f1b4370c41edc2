package lavfake

import (
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// reservation is engine memory that is reserved for a part of a long prompt.
type reservation struct {
	id         string
	tokens     int
	usedTokens int
	// lastUsed is the time at which the reservation was created or last used.
	lastUsed time.Time
}

// use takes tokens from the unused part of the reservation.
func (r *reservation) use(tokens int) error {
	if r.usedTokens+tokens > r.tokens {
		return lavengine.ErrRefused
	}
	r.usedTokens += tokens
	r.lastUsed = time.Now()
	return nil
}

// reserve reserves memory. It is idempotent for each reservation ID.
func (e *Engine) reserve(request lavengine.Reservation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.removeExpired(now)
	if existing := e.reservations[request.ID]; existing != nil {
		existing.lastUsed = now
		return nil
	}
	needed := e.memoryInUse() + request.Tokens
	if e.isCold(now) && needed > e.settings.ColdLimit {
		// A reservation that exceeds the limit does not crash a cold engine,
		// but the engine rejects it.
		return lavengine.ErrRefused
	}
	if needed > e.settings.MemoryTokens {
		return lavengine.ErrRefused
	}
	e.reservations[request.ID] = &reservation{id: request.ID, tokens: request.Tokens, lastUsed: now}
	return nil
}

// release frees a reservation and aborts the streams that use it.
func (e *Engine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.reservations[id]
	if r == nil {
		return
	}
	delete(e.reservations, id)
	for streamID, s := range e.streams {
		if s.reservation == r {
			e.removeStream(streamID)
		}
	}
}

// removeExpired removes streams whose retention time after their end has
// passed, and reservations that have been unused for the TTL.
func (e *Engine) removeExpired(now time.Time) {
	for id, s := range e.streams {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) >= e.settings.StreamRetention {
			delete(e.streams, id)
		}
	}
	if e.settings.ReservationTTL <= 0 {
		return
	}
	for id, r := range e.reservations {
		if now.Sub(r.lastUsed) >= e.settings.ReservationTTL {
			delete(e.reservations, id)
		}
	}
}

// checkpoint is the engine state after the prefill of a text. The fake stores a
// running hash of the text in place of the KV cache.
type checkpoint struct {
	digest []byte
	tokens int
}

// findCheckpoint returns the checkpoint with the given name. The empty name
// stands for the state before the first token.
func (e *Engine) findCheckpoint(name string) (checkpoint, error) {
	if name == "" {
		return checkpoint{}, nil
	}
	c, ok := e.checkpoints[name]
	if !ok {
		return checkpoint{}, lavengine.ErrGone
	}
	return c, nil
}

func (c checkpoint) hasher() *xxhash.Digest {
	sum := xxhash.New()
	if c.digest != nil {
		// The digest always comes from MarshalBinary, or importCheckpoint has
		// validated it, so unmarshalling cannot fail.
		_ = sum.UnmarshalBinary(c.digest)
	}
	return sum
}

// extend returns the checkpoint after the prefill of text on top of c.
func (c checkpoint) extend(text string) checkpoint {
	sum := c.hasher()
	_, _ = sum.WriteString(text)
	digest, _ := sum.MarshalBinary()
	return checkpoint{digest: digest, tokens: c.tokens + countTokens(text)}
}

func (c checkpoint) sum() uint64 { return c.hasher().Sum64() }

// prefill prefills a segment into a reservation at the engine's prefill rate
// and returns the name of the resulting checkpoint.
func (e *Engine) prefill(ctx context.Context, body lavengine.PrefillBody) (string, error) {
	s, start, err := e.startSegment(body)
	if err != nil {
		return "", err
	}
	for {
		e.mu.Lock()
		aborted, left, changed := s.aborted, s.prefillLeft, s.changed
		e.mu.Unlock()
		switch {
		case aborted:
			return "", lavengine.ErrBroken
		case left == 0:
			return e.finishSegment(s, start.extend(body.Segment))
		}
		select {
		case <-ctx.Done():
			e.cancel(s.submission.ID)
			return "", ctx.Err()
		case <-changed:
		}
	}
}

// segmentPriority places segments after all prompts in the batch.
const segmentPriority = 1 << 10

func (e *Engine) startSegment(body lavengine.PrefillBody) (*stream, checkpoint, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	start, err := e.findCheckpoint(body.Checkpoint)
	if err != nil {
		return nil, start, err
	}
	r := e.reservations[body.Reservation]
	if r == nil {
		return nil, start, lavengine.ErrGone
	}
	tokens := countTokens(body.Segment)
	if err := r.use(tokens); err != nil {
		return nil, start, err
	}
	s := &stream{
		submission:  lavengine.Submission{ID: lavrequest.ID("segment-" + rand.Text()), Priority: segmentPriority},
		incarnation: e.incarnation,
		prefillLeft: tokens,
		reservation: r,
		prefillOnly: true,
		changed:     make(chan struct{}),
	}
	e.streams[s.submission.ID] = s
	e.addToBatch(s)
	return s, start, nil
}

// finishSegment stores the checkpoint at the end of a segment and returns its
// name.
func (e *Engine) finishSegment(s *stream, c checkpoint) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.incarnation != e.incarnation {
		return "", lavengine.ErrBroken
	}
	delete(e.streams, s.submission.ID)
	s.reservation.lastUsed = time.Now()
	return e.addCheckpoint(c), nil
}

func (e *Engine) addCheckpoint(c checkpoint) string {
	name := "checkpoint-" + rand.Text()
	e.checkpoints[name] = c
	return name
}

// exportCheckpoint returns the encoded state of a checkpoint.
func (e *Engine) exportCheckpoint(name string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, err := e.findCheckpoint(name)
	if err != nil {
		return nil, err
	}
	return append([]byte(strconv.Itoa(c.tokens)+" "), c.digest...), nil
}

var errInvalidState = errors.New("invalid checkpoint state")

// importCheckpoint stores an encoded checkpoint and returns its name in this
// engine.
func (e *Engine) importCheckpoint(state []byte) (string, error) {
	for i, b := range state {
		if b != ' ' {
			continue
		}
		tokens, err := strconv.Atoi(string(state[:i]))
		digest := state[i+1:]
		if err != nil || xxhash.New().UnmarshalBinary(digest) != nil {
			return "", errInvalidState
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.addCheckpoint(checkpoint{digest: digest, tokens: tokens}), nil
	}
	return "", errInvalidState
}
