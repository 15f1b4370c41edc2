package lavresponse

import (
	"context"
	"net"
	"net/http"
)

// dialFunc opens a connection, as the field DialContext of http.Transport does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client like client, with connections of its own, that are of the type Conn,
// and with Checked responses, whose heads have at most MaxHeadBytes unless client has another limit.
// It returns a client of NewClient or Checked unchanged. If client has another transport than an
// http.Transport, its responses are only checked.
func NewClient(client *http.Client) *http.Client {
	base, ok := transportOf(client).(*http.Transport)
	if !ok {
		return Checked(client)
	}
	base = base.Clone()
	base.DialContext = wrapDial(dialOf(base))
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	equipped := *client
	equipped.Transport = newTransport(base)
	return &equipped
}

// Checked returns a client like client, with the same connections, that returns an error for a response
// whose head CheckHead rejects.
func Checked(client *http.Client) *http.Client {
	base := transportOf(client)
	if _, ok := base.(*transport); ok {
		return client
	}
	checked := *client
	checked.Transport = newTransport(base)
	return &checked
}

// BudgetOf returns what the responses of a client of NewClient or Checked may take together in memory.
// Another client gets a new budget.
func BudgetOf(client *http.Client) *Budget {
	if checked, ok := client.Transport.(*transport); ok {
		return checked.budget
	}
	return NewBudget(sharedBytes)
}

// Dial returns the function by which a client opens connections.
func Dial(client *http.Client) func(ctx context.Context, network, address string) (net.Conn, error) {
	base := transportOf(client)
	if checked, ok := base.(*transport); ok {
		base = checked.base
	}
	if base, ok := base.(*http.Transport); ok {
		return dialOf(base)
	}
	return (&net.Dialer{}).DialContext
}

// WithoutKeepAlives returns a copy of a client of NewClient that opens a connection for each request.
func WithoutKeepAlives(client *http.Client) *http.Client {
	singleUse := *client
	checked, ok := client.Transport.(*transport)
	if !ok {
		return &singleUse
	}
	if base, ok := checked.base.(*http.Transport); ok {
		base = base.Clone()
		base.DisableKeepAlives = true
		singleUse.Transport = &transport{base: base, budget: checked.budget}
	}
	return &singleUse
}

// transportOf returns the transport that a client uses.
func transportOf(client *http.Client) http.RoundTripper {
	if client.Transport == nil {
		return http.DefaultTransport
	}
	return client.Transport
}

// dialOf returns the function by which a transport opens connections.
func dialOf(base *http.Transport) dialFunc {
	if base.DialContext == nil {
		return (&net.Dialer{}).DialContext
	}
	return base.DialContext
}

// wrapDial returns a function that opens connections of the type Conn by dial.
func wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
