package lavrelay

import (
	"net"
	"net/http"
)

// abort ends a response that can't be completed so that the caller doesn't take it for a
// complete one. It panics with http.ErrAbortHandler.
func abort(w http.ResponseWriter, framedByClose bool) {
	if framedByClose {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection of a response with a reset. Without one, the end
// of the connection would be the proper end of the response.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// The connection isn't known, so the server closes it in its own way.
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// A linger time of zero makes Close send a reset. If it can't be set, the
		// connection is broken already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
