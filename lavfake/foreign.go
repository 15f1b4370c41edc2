package lavfake

import (
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// SendForeign sets whether the engine sends bytes in its streams, before each event, that are no
// event of them.
func (e *Engine) SendForeign(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendsForeign = on
}

// foreignFrames returns a frame of another stream, the end of another stream, and a frame of the same
// stream at an earlier incarnation.
func foreignFrames(s *stream, offset int) []lavengine.Frame {
	const text = "text that no run made"
	other := s.submission.ID + lavrequest.ID("-other")
	return []lavengine.Frame{
		{ID: other, Incarnation: s.incarnation, Offset: offset, Tokens: 1, Text: text},
		{ID: other, Incarnation: s.incarnation, Offset: offset, Tokens: 1, Text: text, Final: true},
		{ID: s.submission.ID, Incarnation: "earlier", Offset: offset, Tokens: 1, Text: text},
	}
}

// foreignTexts are bytes that are no frame.
var foreignTexts = []string{
	"internal error\n\n",
	"id: 99999\n\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\n\n",
	"data: {\n\n",
}

// foreignBytes returns what the engine sends before the event at an offset of a stream, each kind in
// turn, or nothing.
func (e *Engine) foreignBytes(s *stream, offset int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.sendsForeign {
		return nil
	}
	e.counts.Foreign++
	frames := foreignFrames(s, offset)
	kind := e.counts.Foreign % (len(frames) + len(foreignTexts))
	if kind >= len(frames) {
		return []byte(foreignTexts[kind-len(frames)])
	}
	// A frame of text and numbers can always be encoded.
	event, _ := lavengine.AppendEvent(nil, s.submission.Model, frames[kind])
	return event
}
