package lavevent

import (
	"bytes"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// block is what the lines of a block say.
type block struct {
	id      string
	hasID   bool
	hasData bool
	// hasOther is true if there are fields other than the ID and data.
	hasOther bool
}

// isEmpty reports whether the block has no fields: it consists of comments or a blank line.
func (b block) isEmpty() bool { return !b.hasID && !b.hasData && !b.hasOther }

// blockEnd returns the end of the block in p whose lines before from are known not to be blank, with
// the blank line that ends it. A blank line at the beginning is a block by itself. If the block
// is not complete, it returns the beginning of its last line and false.
func blockEnd(p []byte, from int) (end int, complete bool) {
	for {
		length := bytes.IndexByte(p[from:], '\n')
		if length < 0 {
			return from, false
		}
		line := p[from : from+length]
		from += length + 1
		if len(trimCR(line)) == 0 {
			return from, true
		}
	}
}

// beginsEvent reports whether a part of a block is the beginning of an event with an ID.
func beginsEvent(p []byte) bool {
	for line := range bytes.Lines(p) {
		if bytes.HasPrefix(line, []byte("id:")) {
			return true
		}
	}
	return false
}

// trimCR returns a line without the carriage return at its end.
func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte{'\r'}) }

// parseBlock parses a block. An error wraps ErrForeign.
func parseBlock(p []byte, firstField string) (block, error) {
	var b block
	first := true
	for line := range bytes.Lines(p) {
		line = trimCR(bytes.TrimSuffix(line, []byte{'\n'}))
		if err := b.addLine(line, first, firstField); err != nil {
			return block{}, err
		}
		first = false
	}
	if !b.isEmpty() && (!b.hasID || !b.hasData) {
		return block{}, errors.Wrap(ErrForeign, "block has no ID or no data")
	}
	return b, nil
}

// addLine adds a line without its end.
func (b *block) addLine(line []byte, first bool, firstField string) error {
	if !isText(line) {
		return errors.Wrap(ErrForeign, "line is no text")
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch field := string(name); {
	case field == "":
		// A comment, or the blank line that ends the block.
	case field == "id" && !b.hasID:
		b.id, b.hasID = string(value), true
	case field == "data":
		b.hasData = true
	case field == "event":
		b.hasOther = true
	case field == "retry" && isNumber(value):
		b.hasOther = true
	case first && field == firstField && isNumber(value):
		b.hasOther = true
	default:
		return errors.Wrap(ErrForeign, "line has no field of an event")
	}
	return nil
}

// isText reports whether a line is UTF-8 without control characters.
func isText(line []byte) bool {
	return utf8.Valid(line) && bytes.IndexFunc(line, isControl) < 0
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

// isNumber reports whether a value consists of decimal digits.
func isNumber(value []byte) bool {
	return len(value) > 0 && bytes.IndexFunc(value, func(r rune) bool { return r < '0' || r > '9' }) < 0
}
