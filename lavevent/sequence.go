package lavevent

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// sequence is the IDs of a stream, which number its events from 1 on.
type sequence struct {
	// last is the ID of the last event, and number its value. Known is false if the stream goes
	// on after an event whose ID is no number.
	last   string
	number uint64
	known  bool
}

// newSequence returns the IDs that follow lastID, which is empty at the beginning of a stream.
func newSequence(lastID string) sequence {
	if lastID == "" {
		return sequence{known: true}
	}
	number, err := parseID(lastID)
	return sequence{last: lastID, number: number, known: err == nil}
}

// advance checks the ID of the next event and makes it the last one.
func (s *sequence) advance(id string) error {
	number, err := parseID(id)
	if err != nil {
		return errors.Wrap(ErrForeign, "ID is no number")
	}
	if s.known && number != s.number+1 {
		return errors.Wrapf(ErrForeign, "ID %d does not follow %d", number, s.number)
	}
	s.last, s.number, s.known = id, number, true
	return nil
}

// parseID returns the value of an ID, which consists of decimal digits.
func parseID(id string) (uint64, error) {
	if !isNumber([]byte(id)) {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(id, 10, 64)
}
