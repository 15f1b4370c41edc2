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

// reservation is memory set aside for a part of a long prompt.
type reservation struct {
	id     string
	tokens int
	filled int
	// touched is when it was last made or used.
	touched time.Time
}

// take fills a part of the reservation.
func (r *reservation) take(tokens int) error {
	if r.filled+tokens > r.tokens {
		return lavengine.ErrRefused
	}
	r.filled += tokens
	r.touched = time.Now()
	return nil
}

// reserve sets memory aside. Doing it twice is the same as once.
func (e *Engine) reserve(want lavengine.Reservation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.lapse(now)
	if have := e.reservations[want.ID]; have != nil {
		have.touched = now
		return nil
	}
	used := e.used() + want.Tokens
	if e.isCold(now) && used > e.settings.ColdLimit {
		// Memory alone doesn't kill a cold engine; it just doesn't give it.
		return lavengine.ErrRefused
	}
	if used > e.settings.MemoryTokens {
		return lavengine.ErrRefused
	}
	e.reservations[want.ID] = &reservation{id: want.ID, tokens: want.Tokens, touched: now}
	return nil
}

// release frees a reservation and ends the streams that use it.
func (e *Engine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.reservations[id]
	if r == nil {
		return
	}
	delete(e.reservations, id)
	for stream, s := range e.streams {
		if s.reservation == r {
			e.drop(stream)
		}
	}
}

// lapse forgets streams that ended some time ago and frees reservations that
// have not been used for too long.
func (e *Engine) lapse(now time.Time) {
	for id, s := range e.streams {
		if !s.ended.IsZero() && now.Sub(s.ended) >= e.settings.StreamRetention {
			delete(e.streams, id)
		}
	}
	if e.settings.ReservationLapse <= 0 {
		return
	}
	for id, r := range e.reservations {
		if now.Sub(r.touched) >= e.settings.ReservationLapse {
			delete(e.reservations, id)
		}
	}
}

// checkpoint is the state of an engine after reading a text. It holds the
// running hash of the text instead of the real state.
type checkpoint struct {
	digest []byte
	tokens int
}

// checkpoint returns the one of that name; the empty name is the beginning.
func (e *Engine) checkpoint(name string) (checkpoint, error) {
	if name == "" {
		return checkpoint{}, nil
	}
	c, ok := e.checkpoints[name]
	if !ok {
		return checkpoint{}, lavengine.ErrGone
	}
	return c, nil
}

func (c checkpoint) state() *xxhash.Digest {
	sum := xxhash.New()
	if c.digest != nil {
		// Only what MarshalBinary made gets here.
		_ = sum.UnmarshalBinary(c.digest)
	}
	return sum
}

// after returns the checkpoint that follows by reading text.
func (c checkpoint) after(text string) checkpoint {
	sum := c.state()
	_, _ = sum.WriteString(text)
	digest, _ := sum.MarshalBinary()
	return checkpoint{digest: digest, tokens: c.tokens + tokensOf(text)}
}

func (c checkpoint) hash() uint64 { return c.state().Sum64() }

// prefill reads a segment into a reservation at the engine's rate and returns
// the name of the checkpoint at its end.
func (e *Engine) prefill(ctx context.Context, body lavengine.PrefillBody) (string, error) {
	s, from, err := e.openSegment(body)
	if err != nil {
		return "", err
	}
	for {
		e.mu.Lock()
		dead, left, changed := s.dead, s.toRead, s.changed
		e.mu.Unlock()
		switch {
		case dead:
			return "", lavengine.ErrBroken
		case left == 0:
			return e.keep(s, from.after(body.Segment))
		}
		select {
		case <-ctx.Done():
			e.cancel(s.submission.ID)
			return "", ctx.Err()
		case <-changed:
		}
	}
}

// segmentPriority puts segments behind all prompts.
const segmentPriority = 1 << 10

func (e *Engine) openSegment(body lavengine.PrefillBody) (*stream, checkpoint, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	from, err := e.checkpoint(body.Checkpoint)
	if err != nil {
		return nil, from, err
	}
	r := e.reservations[body.Reservation]
	if r == nil {
		return nil, from, lavengine.ErrGone
	}
	tokens := tokensOf(body.Segment)
	if err := r.take(tokens); err != nil {
		return nil, from, err
	}
	s := &stream{
		submission:  lavengine.Submission{ID: lavrequest.ID("segment-" + rand.Text()), Priority: segmentPriority},
		incarnation: e.incarnation,
		toRead:      tokens,
		reservation: r,
		prefill:     true,
		changed:     make(chan struct{}),
	}
	e.streams[s.submission.ID] = s
	e.queue(s)
	return s, from, nil
}

// keep names the checkpoint at the end of a segment.
func (e *Engine) keep(s *stream, c checkpoint) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.incarnation != e.incarnation {
		return "", lavengine.ErrBroken
	}
	delete(e.streams, s.submission.ID)
	s.reservation.touched = time.Now()
	return e.addCheckpoint(c), nil
}

func (e *Engine) addCheckpoint(c checkpoint) string {
	name := "checkpoint-" + rand.Text()
	e.checkpoints[name] = c
	return name
}

// export returns the state of a checkpoint.
func (e *Engine) export(name string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, err := e.checkpoint(name)
	if err != nil {
		return nil, err
	}
	return append([]byte(strconv.Itoa(c.tokens)+" "), c.digest...), nil
}

var errState = errors.New("not the state of a checkpoint")

// load takes in the state of a checkpoint and returns its name here.
func (e *Engine) load(state []byte) (string, error) {
	for i, b := range state {
		if b != ' ' {
			continue
		}
		tokens, err := strconv.Atoi(string(state[:i]))
		digest := state[i+1:]
		if err != nil || xxhash.New().UnmarshalBinary(digest) != nil {
			return "", errState
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.addCheckpoint(checkpoint{digest: digest, tokens: tokens}), nil
	}
	return "", errState
}
