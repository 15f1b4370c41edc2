package lavresponse

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// transport checks the heads of the responses of another transport.
type transport struct{ base http.RoundTripper }

// informationalCheck checks the heads of informational responses, which precede a response.
var informationalCheck = &httptrace.ClientTrace{
	Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkFieldNames(fields) },
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), informationalCheck))
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

// CloseIdleConnections closes the idle connections of the other transport. It is called by the method
// of that name of http.Client.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
