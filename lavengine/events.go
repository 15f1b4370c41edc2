package lavengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of one line of a stream.
const maxLineBytes = 1 << 20

// StreamInfo describes the source of a stream's frames. The streams of HTTP
// implement it.
type StreamInfo interface {
	// Incarnation returns the engine's incarnation, which is known before the
	// first frame.
	Incarnation() Incarnation
	// Dropped returns the number of frames that were ignored because they belong
	// to another stream or were received before.
	Dropped() int
}

// eventStream reads the frames of an answer from server-sent events. It
// implements Stream and StreamInfo.
type eventStream struct {
	body  io.ReadCloser
	lines *lavresponse.Lines
	id    lavrequest.ID
	// incarnation is taken from the header of the response.
	incarnation Incarnation
	// nextOffset is the offset that the next frame must have.
	nextOffset int
	peer       string
	final      bool
	dropped    int
	// classifyError returns ErrSilent if the connection was closed because it
	// was silent, and otherwise the read error unchanged.
	classifyError func(error) error
}

func (h *HTTP) newEventStream(response *http.Response, id lavrequest.ID, offset int, classifyError func(error) error) *eventStream {
	return &eventStream{
		body:          response.Body,
		lines:         h.replies.Lines(response.Body, maxLineBytes),
		id:            id,
		incarnation:   Incarnation(response.Header.Get(HeaderIncarnation)),
		nextOffset:    offset,
		peer:          h.baseURL,
		classifyError: classifyError,
	}
}

// Incarnation implements StreamInfo.
func (e *eventStream) Incarnation() Incarnation { return e.incarnation }

// Dropped implements StreamInfo.
func (e *eventStream) Dropped() int { return e.dropped }

// Next implements Stream. It ignores frames of another request or incarnation
// and frames that were received before. If frames are missing, or an event is no
// frame, it returns ErrBroken.
func (e *eventStream) Next() (Frame, error) {
	if e.final {
		return Frame{}, io.EOF
	}
	end, hasEnd, failed := 0, false, false
	for {
		text, err := e.lines.Next()
		if err != nil {
			return Frame{}, e.streamError(unexpected(err))
		}
		line := string(text)
		e.lines.Release()
		if line == "" {
			hasEnd = false
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			failed = value == "error"
		case "id":
			n, err := strconv.Atoi(value)
			if err != nil {
				return Frame{}, e.streamError(err)
			}
			end, hasEnd = n, true
		case "data":
			if value == StreamEnd {
				// The marker doesn't identify the stream that has ended. Only a
				// final frame does.
				continue
			}
			if failed {
				return Frame{}, e.streamError(errors.Newf("engine sent an error: %.200s", value))
			}
			f, ok, err := e.parseFrame(value, end, hasEnd)
			if ok || err != nil {
				return f, err
			}
			hasEnd = false
		}
	}
}

// unexpected returns the error of a stream that ends before its final frame.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseFrame decodes a frame and reports whether it is the next one of this
// stream.
func (e *eventStream) parseFrame(data string, end int, hasEnd bool) (Frame, bool, error) {
	var c Chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return Frame{}, false, e.streamError(err)
	}
	f, err := c.toFrame(end, hasEnd)
	if err != nil {
		return Frame{}, false, e.streamError(err)
	}
	if f.ID != e.id || f.Incarnation != e.incarnation || f.Tokens < 0 || f.Offset < e.nextOffset {
		e.dropped++
		return Frame{}, false, nil
	}
	if f.Offset > e.nextOffset {
		return Frame{}, false, e.streamError(errors.Newf("frame has offset %d, want %d", f.Offset, e.nextOffset))
	}
	e.nextOffset += f.Tokens
	e.final = f.Final
	return f, true, nil
}

// Close implements Stream.
func (e *eventStream) Close() error { return e.body.Close() }

func (e *eventStream) streamError(err error) error {
	return lavstep.Wrap(errors.Mark(e.classifyError(err), ErrBroken), lavstep.EngineStream, e.peer)
}
