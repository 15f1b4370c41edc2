package lavfake

import (
	"context"
	"io"
	"net"
	"net/http"
)

// HandleRaw returns a handler that leaves the body of a request unread, and the connection to handle, which
// must close it.
func HandleRaw(handle func(c net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		handle(c)
	}
}

// RespondRaw returns a handler that writes the bytes of an answer as they are, and closes the connection.
func RespondRaw(answer string) http.HandlerFunc {
	return HandleRaw(func(c net.Conn) {
		// The client may have closed the connection.
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	})
}

// Reset closes a connection by a reset, if it is a socket.
func Reset(c net.Conn) {
	if socket, ok := c.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// FinishWriting says on a connection that nothing more is sent, if it is a socket.
func FinishWriting(c net.Conn) {
	if socket, ok := c.(*net.TCPConn); ok {
		_ = socket.CloseWrite()
	}
}

// unreadBytes is about how much of an upload the kernel takes on connections of DialUnbuffered while the
// server doesn't read it.
const unreadBytes = 16 << 10

// DialUnbuffered opens a TCP connection on which an upload that isn't read stalls soon.
func DialUnbuffered(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if socket, ok := c.(*net.TCPConn); ok {
		err = socket.SetWriteBuffer(unreadBytes)
	}
	return c, err
}
