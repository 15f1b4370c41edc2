package lavclient

import (
	"bufio"
	"io"
	"strings"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// maxLineBytes limits the length of a line in a stream.
const maxLineBytes = 1 << 20

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
	for r.lines.Scan() {
		r.onLine()
		line := r.lines.Text()
		if line == "" {
			if e.data != "" {
				return e, nil
			}
			e = event{}
			continue
		}
		e.parseLine(line)
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}

// resumeTokenPrefix is the start of a comment line that contains a new resume token.
const resumeTokenPrefix = ": " + lavrequest.HeaderResume + " "

// parseLine adds one line to the event. A line that starts with a colon is a comment.
// Comments other than resume tokens are ignored; they are heartbeats that show that
// the connection is alive.
func (e *event) parseLine(line string) {
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
		if e.data != "" {
			e.data += "\n"
		}
		e.data += value
	}
}
