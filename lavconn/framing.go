package lavconn

import "net/http"

//go:generate stringer -type=Framing -trimprefix=Framing -output=framing_string.go

// Framing is how the end of a response's body is marked.
type Framing int

// The framings.
const (
	// FramingNone means that there is no response.
	FramingNone Framing = iota
	// FramingLength means that the header states the length of the body.
	FramingLength
	// FramingChunks means that the last chunk ends the body.
	FramingChunks
	// FramingClose means that the body ends with its connection. Its end doesn't show
	// whether the body is complete.
	FramingClose
)

// framingOf returns the framing of a response.
func framingOf(head *http.Response) Framing {
	switch {
	case head.ContentLength >= 0:
		return FramingLength
	case len(head.TransferEncoding) > 0:
		return FramingChunks
	default:
		return FramingClose
	}
}
