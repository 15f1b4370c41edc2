package lavrelay

import "bytes"

// events splits a stream into events and keeps the ID of the last one.
type events struct {
	// partial is the beginning of an event whose end has not been received.
	partial []byte
	// lastID is the ID of the last complete event that had one.
	lastID string
	// count is the number of complete events.
	count int
	// sinceData is the number of bytes since the last event with data or an ID.
	sinceData int
}

// maxBytesWithoutData is how many bytes a stream may send without an event that has data or
// an ID. It also limits the size of an event.
const maxBytesWithoutData = 256 << 10

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
	dataField    = []byte("data")
)

// feed adds bytes of the stream and returns the events that are complete with them. The
// result is valid until the next call.
func (e *events) feed(p []byte) []byte {
	e.partial = append(e.partial, p...)
	e.sinceData += len(p)
	whole := 0
	for {
		n := firstEventLength(e.partial[whole:])
		if n == 0 {
			break
		}
		e.record(e.partial[whole : whole+n])
		whole += n
	}
	out := e.partial[:whole:whole]
	e.partial = append([]byte(nil), e.partial[whole:]...)
	return out
}

// firstEventLength returns the length of the first complete event in p, or 0.
func firstEventLength(p []byte) int {
	lf, cr := bytes.Index(p, eventEnd), bytes.Index(p, eventEndCRLF)
	switch {
	case lf >= 0 && (cr < 0 || lf < cr):
		return lf + len(eventEnd)
	case cr >= 0:
		return cr + len(eventEndCRLF)
	default:
		return 0
	}
}

// record counts a complete event and stores its ID, if it has one. Comments and blank
// lines count as no event.
func (e *events) record(event []byte) {
	hasData := false
	for line := range bytes.Lines(event) {
		id, hasID := bytes.CutPrefix(line, idField)
		if hasID {
			e.lastID = string(bytes.TrimSpace(id))
		}
		hasData = hasData || hasID || bytes.HasPrefix(line, dataField)
	}
	if hasData {
		e.count++
		e.sinceData = 0
	}
}

// endless reports whether the stream has sent so much without data that it may never send
// any.
func (e *events) endless() bool { return e.sinceData > maxBytesWithoutData }

// truncated reports whether the stream would end inside an event if it ended now. Only
// blank lines may follow the last event.
func (e *events) truncated() bool { return len(bytes.Trim(e.partial, "\r\n")) > 0 }

// discardPartial drops the beginning of an event whose end will not be received.
func (e *events) discardPartial() { e.partial, e.sinceData = nil, 0 }
