package lavresponse

import (
	"context"
	"net"
	"net/http"
)

// NewClient returns a client like client whose connections are of the type Conn. It has connections
// of its own. A client whose transport isn't an http.Transport is returned unchanged.
func NewClient(client *http.Client) *http.Client {
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	transport, ok := base.(*http.Transport)
	if !ok {
		return client
	}
	proven := *client
	proven.Transport = newTransport(transport)
	return &proven
}

// newTransport returns a copy of a transport whose connections are of the type Conn.
func newTransport(base *http.Transport) *http.Transport {
	transport := base.Clone()
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return transport
}
