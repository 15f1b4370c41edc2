package lavrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/phuslu/log"
)

// TestAbortedResponseIsNotComplete checks the abort as callers of both HTTP versions see it.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	for minor := range 2 {
		t.Run(fmt.Sprintf("HTTP1.%d", minor), func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "a part")
				_ = http.NewResponseController(w).Flush()
				abort(w, !r.ProtoAtLeast(1, 1))
			}))
			server.Config.ErrorLog = (&log.Logger{Level: log.PanicLevel}).Std("", 0)
			server.Start()
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			lavassert.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "GET / HTTP/1.%d\r\nHost: h\r\n\r\n", minor)
			lavassert.NoError(t, err)
			lavassert.True(t, "reading the response fails", readResponse(c) != nil)
		})
	}
}

// readResponse reads a response up to its end.
func readResponse(c net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
