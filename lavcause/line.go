package lavcause

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is what a host's log line says of a request.
type Line struct {
	Route   string
	Outcome string
	// Runs is the number of attempts in which an endpoint may have run the request.
	Runs    int
	Verdict Verdict
	Cause   Cause
	// LateBy is in milliseconds.
	LateBy float64
}

// Outcomes that Line tells apart if it has no verdict.
const (
	outcomeDone = "Done"
	outcomeLeft = "Left"
)

// requestMessage is in each line of a request, and in no other.
var requestMessage = []byte(`"message":"request"`)

// ReadLines calls add for each line of a request. It skips other lines, and in each line what
// stands before the JSON object.
func ReadLines(r io.Reader, add func(Line)) error {
	reader := bufio.NewReader(r)
	for number := 1; ; number++ {
		text, err := reader.ReadBytes('\n')
		if bytes.Contains(text, requestMessage) {
			line, err := parseLine(text)
			if err != nil {
				return errors.Wrapf(err, "line %d", number)
			}
			add(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// parseLine parses the line of a request.
func parseLine(text []byte) (Line, error) {
	var line Line
	object := text[max(bytes.IndexByte(text, '{'), 0):]
	if err := json.Unmarshal(object, &line); err != nil {
		return Line{}, err
	}
	line.complete()
	return line, nil
}

// complete fills in what the line of an older version doesn't say but its outcome shows.
func (l *Line) complete() {
	if l.Verdict != VerdictUnknown || l.Outcome == outcomeDone {
		return
	}
	l.Cause = CauseNotRecorded
	switch {
	case l.Outcome == outcomeLeft:
		l.Verdict = VerdictLeft
	case l.Runs == 0:
		l.Verdict = VerdictRefused
	default:
		l.Verdict = VerdictFailed
	}
}

// lateness returns LateBy as a duration.
func (l *Line) lateness() time.Duration {
	return time.Duration(l.LateBy * float64(time.Millisecond))
}
