package lavrelay

import "bytes"

// events finds the ends of events in a stream, and the newest event's ID.
type events struct {
	// held is the beginning of an event whose end hasn't come.
	held []byte
	// last is the ID of the last whole event.
	last string
	// count is the number of whole events.
	count int
}

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
)

// feed takes bytes of the stream and returns the whole events that they end.
// The result is valid until the next call.
func (e *events) feed(p []byte) []byte {
	e.held = append(e.held, p...)
	whole := 0
	for {
		n := firstEvent(e.held[whole:])
		if n == 0 {
			break
		}
		e.note(e.held[whole : whole+n])
		whole += n
	}
	out := e.held[:whole:whole]
	e.held = append([]byte(nil), e.held[whole:]...)
	return out
}

// firstEvent returns the length of the first whole event, or 0.
func firstEvent(p []byte) int {
	lf, cr := bytes.Index(p, eventEnd), bytes.Index(p, eventEndCR)
	switch {
	case lf >= 0 && (cr < 0 || lf < cr):
		return lf + len(eventEnd)
	case cr >= 0:
		return cr + len(eventEndCR)
	default:
		return 0
	}
}

// note takes the ID of a whole event, if it has one.
func (e *events) note(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}

// drop forgets the beginning of an event that will not be ended.
func (e *events) drop() { e.held = nil }
