package lavengine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// StreamInfo says where the frames of a stream come from.
type StreamInfo interface {
	// Incarnation is the engine's incarnation, known before the first frame.
	Incarnation() Incarnation
	// Dropped counts the frames that were not of this stream.
	Dropped() int
}

// events reads the frames of an answer from server-sent events. It implements
// Stream and Origin.
type events struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	id    lavrequest.ID
	// incarnation is that of the answer's header.
	incarnation Incarnation
	// next is the offset that the next frame must have.
	next    int
	peer    string
	final   bool
	dropped int
	// cause tells why the connection failed.
	cause func(error) error
}

func newEvents(answer *http.Response, id lavrequest.ID, offset int, peer string, cause func(error) error) *events {
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &events{
		body: answer.Body, lines: lines, id: id, next: offset, peer: peer, cause: cause,
		incarnation: Incarnation(answer.Header.Get(HeaderIncarnation)),
	}
}

// Incarnation implements Origin.
func (e *events) Incarnation() Incarnation { return e.incarnation }

// Dropped implements Origin.
func (e *events) Dropped() int { return e.dropped }

// Next implements Stream. A frame of another request or incarnation, or one
// that came before, is dropped; a gap breaks the stream.
func (e *events) Next() (Frame, error) {
	if e.final {
		return Frame{}, io.EOF
	}
	end, failed := e.next, false
	for e.lines.Scan() {
		name, value, _ := strings.Cut(e.lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			failed = value == "error"
		case "id":
			n, err := strconv.Atoi(value)
			if err != nil {
				return Frame{}, e.broken(err)
			}
			end = n
		case "data":
			if value == StreamEnd {
				// It says nothing of whose stream has ended; a final frame does.
				continue
			}
			if failed {
				return Frame{}, e.broken(errors.Newf("engine says %.200s", value))
			}
			f, ok, err := e.frame(value, end)
			if ok || err != nil {
				return f, err
			}
			end = e.next
		}
	}
	return Frame{}, e.broken(errors.CombineErrors(e.lines.Err(), io.ErrUnexpectedEOF))
}

// frame reads a frame and reports whether it is the next of this stream.
func (e *events) frame(data string, end int) (Frame, bool, error) {
	var c Chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return Frame{}, false, e.broken(err)
	}
	f := c.frame(e.next, end)
	if f.ID != e.id || f.Incarnation != e.incarnation || f.Tokens < 0 || f.Offset < e.next {
		e.dropped++
		return Frame{}, false, nil
	}
	if f.Offset > e.next {
		return Frame{}, false, e.broken(errors.Newf("frame at %d, want %d", f.Offset, e.next))
	}
	e.next += f.Tokens
	e.final = f.Final
	return f, true, nil
}

// Close implements Stream.
func (e *events) Close() error { return e.body.Close() }

func (e *events) broken(err error) error {
	return lavstep.Wrap(errors.Mark(e.cause(err), ErrBroken), lavstep.EngineStream, e.peer)
}
