package lavresponse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// lineBufferBytes is large enough for most lines of a stream.
	lineBufferBytes = 4 << 10
	// freeLineBytes is how much of a line is held in any case, whatever the budget.
	freeLineBytes = 32 << 10
)

// Lines reads a stream line by line.
type Lines struct {
	reader *bufio.Reader
	limit  int
	budget *Budget
	// long holds a line that doesn't fit into the reader, and taken what of it was taken from the budget.
	long  []byte
	taken int64
}

// Lines returns a reader of the lines of a stream, each of which has at most limit bytes. Long lines are taken from
// the budget while they are held.
func (b *Budget) Lines(stream io.Reader, limit int) *Lines {
	return &Lines{reader: bufio.NewReaderSize(stream, lineBufferBytes), limit: limit, budget: b}
}

// Next returns the next line without its end, which is LF or CRLF. It is valid until the next call, or until it is
// released. After the last line, which needs no end, the error is io.EOF.
func (l *Lines) Next() ([]byte, error) {
	l.Release()
	line, err := l.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = l.readLong(line)
	}
	if err != nil && (!errors.Is(err, io.EOF) || len(line) == 0) {
		l.Release()
		return nil, err
	}
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
}

// readLong reads the rest of a line that begins with first.
func (l *Lines) readLong(first []byte) ([]byte, error) {
	next, err := first, bufio.ErrBufferFull
	for {
		if err := l.hold(next); err != nil {
			return nil, err
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return l.long, err
		}
		next, err = l.reader.ReadSlice('\n')
	}
}

// hold appends bytes to the long line.
func (l *Lines) hold(p []byte) error {
	length := len(l.long) + len(p)
	if length > l.limit {
		return ErrTooLong
	}
	// A slice that grows may get twice the room that it needs.
	if needed := int64(2*length - freeLineBytes); needed > l.taken {
		if !l.budget.Take(needed - l.taken) {
			return ErrOverBudget
		}
		l.taken = needed
	}
	l.long = append(l.long, p...)
	return nil
}

// Release drops the line that is held, and returns to the budget what was taken for it.
func (l *Lines) Release() {
	l.budget.Add(l.taken)
	l.long, l.taken = nil, 0
}
