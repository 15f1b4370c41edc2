package lavresponse

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

const (
	// MaxHeadBytes is the maximum size of the head of a response.
	MaxHeadBytes = 64 << 10
	// maxInformational is the maximum number of informational responses before a response. Each
	// has a head of its own.
	maxInformational = 16
	// sharedBytes is how much the responses of a client may take together, beyond what each of
	// them may take in any case.
	sharedBytes = 16 << 20
)

// errTooManyHeads means that a peer sends informational responses without end.
var errTooManyHeads = errors.New("too many informational responses")

// transport checks the heads of the responses of another transport.
type transport struct {
	base http.RoundTripper
	// budget is what the responses may take together.
	budget *Budget
}

func newTransport(base http.RoundTripper) *transport {
	return &transport{base: base, budget: NewBudget(sharedBytes)}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), newTrace()))
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// newTrace returns what an http.Transport calls in the course of one request.
func newTrace() *httptrace.ClientTrace {
	heads := 0
	return &httptrace.ClientTrace{
		GotConn: beginRequest,
		// The transport doesn't limit the number of informational responses if they are traced.
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			heads++
			if heads > maxInformational {
				return errTooManyHeads
			}
			return checkFieldNames(fields)
		},
	}
}

// beginRequest begins a request on the connection that a transport has chosen for it.
func beginRequest(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		c.BeginRequest()
	}
}

// CloseIdleConnections closes the idle connections of the other transport. It is called by the method
// of that name of http.Client.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
