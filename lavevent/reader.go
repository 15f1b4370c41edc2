package lavevent

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxBytesWithoutEvent is how many bytes a stream may send without an event. It also limits the
// size of an event.
const maxBytesWithoutEvent = 256 << 10

var (
	// ErrForeign means that a stream contains bytes that are no event of its run.
	ErrForeign = errors.New("bytes are no event of the stream")
	// ErrEndless means that a stream sent too much without an event.
	ErrEndless = errors.New("stream sends bytes without end, but no event")
)

// Reader splits a stream into events and checks them. It is not safe for concurrent use.
type Reader struct {
	// firstField is the name of a field that the first line of an event may have, empty if
	// there is none.
	firstField string
	ids        sequence
	// partial is the beginning of a block whose end has not been received.
	partial []byte
	// lastLine is where the last line of partial begins. The lines before it are not blank.
	lastLine int
	count    int
	// sinceEvent is the number of bytes since the last event.
	sinceEvent int
	// interrupted is true if the last run ended inside an event, so that further events follow.
	interrupted bool
}

// New returns a Reader for a stream that begins after the event with the ID lastID, which is empty
// if it begins with the first one. FirstField names a field that the first line of an event may
// have beside those of the standard, or is empty.
func New(lastID, firstField string) *Reader {
	return &Reader{firstField: firstField, ids: newSequence(lastID)}
}

// Feed adds bytes of the stream. It returns the events that are complete with them, and the
// comments and blank lines around them, which are valid until the next call. An error wraps
// ErrForeign or ErrEndless. It concerns what follows the returned bytes.
func (r *Reader) Feed(p []byte) (whole []byte, err error) {
	r.partial = append(r.partial, p...)
	r.sinceEvent += len(p)
	n, err := r.acceptBlocks()
	if n > 0 {
		whole = r.partial[:n:n]
		r.partial = append([]byte(nil), r.partial[n:]...)
	}
	if err != nil {
		// What is foreign says nothing of the stream.
		r.partial, r.lastLine = nil, 0
	}
	if err == nil && r.sinceEvent > maxBytesWithoutEvent {
		err = ErrEndless
	}
	return whole, err
}

// acceptBlocks checks the complete blocks of partial and returns the length of those that it
// accepts.
func (r *Reader) acceptBlocks() (n int, err error) {
	for {
		end, complete := blockEnd(r.partial, n+r.lastLine)
		r.lastLine = end - n
		if !complete {
			return n, nil
		}
		if err := r.accept(r.partial[n:end]); err != nil {
			return n, err
		}
		n, r.lastLine = end, 0
	}
}

// accept checks a block and counts it if it is an event.
func (r *Reader) accept(block []byte) error {
	event, err := parseBlock(block, r.firstField)
	if err != nil {
		return err
	}
	if event.isEmpty() {
		return nil
	}
	if err := r.ids.advance(event.id); err != nil {
		return err
	}
	r.count++
	r.sinceEvent, r.interrupted = 0, false
	return nil
}

// LastID returns the ID of the last event, or the one given to New if there was none.
func (r *Reader) LastID() string { return r.ids.last }

// Count returns the number of events.
func (r *Reader) Count() int { return r.count }

// Partial returns the bytes that follow the last complete block. They are valid until the next
// call of Feed.
func (r *Reader) Partial() []byte { return r.partial }

// Truncated reports whether the stream would end inside a block if it ended now. Only blank
// lines may follow the last event.
func (r *Reader) Truncated() bool { return len(bytes.Trim(r.partial, "\r\n")) > 0 }

// Resume drops what follows the last complete block, before the stream goes on with another run
// after the event LastID.
func (r *Reader) Resume() {
	r.interrupted = r.interrupted || beginsEvent(r.partial)
	r.partial, r.lastLine, r.sinceEvent = nil, 0, 0
}

// MayEnd reports whether the stream may end after the last event, by what is known of it: it has begun,
// and no run has ended inside a further event.
func (r *Reader) MayEnd() bool { return r.ids.last != "" && !r.interrupted && !r.Truncated() }
