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
	t.Run("a long body arrives whole and costs little", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
				return lavfakenet.Link{Delay: 5 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.01, Resend: 60 * time.Millisecond}
			})
			l, err := n.Host(lavfakenet.HostInfo{Host: "b"}).Listen("tcp", serverAddr)
			lavassert.NoError(t, err)
			got := make([]byte, 0, 16<<20)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				lavassert.NoError(t, err)
				got = append(got, body...)
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
				answer, err := transport.RoundTrip(request)
				lavassert.NoError(t, err)
				lavassert.NoError(t, answer.Body.Close())
			}
			lavassert.True(t, "bodies are equal", bytes.Equal(got, bytes.Repeat(body, 4)))
			transport.CloseIdleConnections()
			lavassert.NoError(t, server.Close())
		})
	})
	t.Run("a side that has closed resets what the other sends", func(t *testing.T) {
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
			lavassert.Equal(t, "write to a closed peer", err.Error(), "connection reset by peer")
			text, err := io.ReadAll(client)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "read", string(text), "bye")
			_, err = server.Read(make([]byte, 1))
			lavassert.Equal(t, "read after the close", err.Error(), "use of closed network connection")
		})
	})
}
