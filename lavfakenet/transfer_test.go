package lavfakenet_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfakenet"
)

func TestTransfer(t *testing.T) {
	t.Run("long bodies arrive complete in spite of jitter and loss", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
				return lavfakenet.Link{Delay: 5 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.01, Resend: 60 * time.Millisecond}
			})
			l, err := n.Host(lavfakenet.HostInfo{Host: "b"}).Listen("tcp", serverAddr)
			lavassert.NoError(t, err)
			received := make([]byte, 0, 16<<20)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				lavassert.NoError(t, err)
				received = append(received, body...)
			})}
			go func() { _ = server.Serve(l) }()
			transport := &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "a"}).DialContext}
			body := make([]byte, 4<<20)
			for i := range body {
				body[i] = byte(i * 31 >> 8)
			}
			for range 4 {
				request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+serverAddr, bytes.NewReader(body))
				lavassert.NoError(t, err)
				response, err := transport.RoundTrip(request)
				lavassert.NoError(t, err)
				lavassert.NoError(t, response.Body.Close())
			}
			lavassert.True(t, "bodies are equal", bytes.Equal(received, bytes.Repeat(body, 4)))
			transport.CloseIdleConnections()
			lavassert.NoError(t, server.Close())
		})
	})
	t.Run("a write to a closed peer is reset", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
			l, err := n.Host(lavfakenet.HostInfo{Host: "b"}).Listen("tcp", serverAddr)
			lavassert.NoError(t, err)
			client, err := n.Host(lavfakenet.HostInfo{Host: "a"}).DialContext(t.Context(), "tcp", serverAddr)
			lavassert.NoError(t, err)
			server, err := l.Accept()
			lavassert.NoError(t, err)
			_, err = server.Write([]byte("bye"))
			lavassert.NoError(t, err)
			lavassert.NoError(t, server.Close())
			_, err = client.Write([]byte("hello"))
			lavassert.Equal(t, "error of a write to a closed peer", err.Error(), "connection reset by peer")
			text, err := io.ReadAll(client)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "data read by the client", string(text), "bye")
			_, err = server.Read(make([]byte, 1))
			lavassert.Equal(t, "error of a read after the close", err.Error(), "use of closed network connection")
		})
	})
}
