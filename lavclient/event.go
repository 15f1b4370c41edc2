package lavclient

import (
	"bufio"
	"io"
	"strings"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes limits the length of a line in a stream.
	maxLineBytes = 1 << 20
	// maxEventBytes limits the data of an event, which may have several lines.
	maxEventBytes = 1 << 20
)

// errEventTooLong means that the data of an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// event is a server-sent event.
type event struct {
	id   string
	name string
	data string
	// resumeToken is a new resume token, which is sent as a comment.
	resumeToken string
}

// eventReader parses a stream of server-sent events.
type eventReader struct {
	lines *bufio.Scanner
	// data is that of the event that is being read.
	data []byte
	// onLine is called for each line, including comments and blank lines.
	onLine func()
}

func newEventReader(body io.Reader, onLine func()) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines: lines, onLine: onLine}
}

// next returns the next event that has data. At the end of the stream, it returns
// io.ErrUnexpectedEOF. An event without its terminating blank line is incomplete and
// is dropped.
func (r *eventReader) next() (event, error) {
	var e event
	r.data = r.data[:0]
	for r.lines.Scan() {
		r.onLine()
		line := r.lines.Text()
		if line == "" {
			if len(r.data) > 0 {
				e.data = string(r.data)
				return e, nil
			}
			e = event{}
			continue
		}
		r.parseLine(&e, line)
		if len(r.data) > maxEventBytes {
			return event{}, errEventTooLong
		}
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}

// resumeTokenPrefix is the start of a comment line that contains a new resume token.
const resumeTokenPrefix = ": " + lavrequest.HeaderResume + " "

// parseLine adds one line to an event. A line that starts with a colon is a comment.
// Comments other than resume tokens are ignored; they are heartbeats that show that
// the connection is alive.
func (r *eventReader) parseLine(e *event, line string) {
	if token, ok := strings.CutPrefix(line, resumeTokenPrefix); ok {
		e.resumeToken = token
		return
	}
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		e.id = value
	case "event":
		e.name = value
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	}
}
