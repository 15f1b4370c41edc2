package lavconn

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as it is sent.
	Target string
	// HostName is the value of the Host header.
	HostName string
	Header   http.Header
	Body     []byte
	// NewConnection requests a new connection. An idle connection may be closed
	// by the endpoint just as the request is sent, and then it is unknown
	// whether the request ran.
	NewConnection bool
	// HeaderTimeout limits the wait for the response header. If it is zero,
	// only the context limits the wait.
	HeaderTimeout time.Duration
	// WriteTimeout limits the time in which the request is written. If it is zero, only
	// the context limits it.
	WriteTimeout time.Duration
	// ProbeAfter is the time without received data after which a connection to
	// the endpoint is tried. If that fails, the exchange is aborted. Zero
	// disables the probe.
	ProbeAfter time.Duration
	// Silence ends the exchange for want of progress.
	Silence Silence
}

// encodeHead returns what precedes the body.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headCapacity + min(len(r.Body), maxInlineWriteBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.HostName)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// headCapacity is enough for most heads of requests, in bytes.
const headCapacity = 1024
