package lavfakenet_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfakenet"
)

const serverAddr = "10.0.0.2:80"

// bubble runs body with a client of an HTTP server that answers "hello".
func bubble(t *testing.T, body func(n *lavfakenet.Network, get func(timeout time.Duration) (string, error))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
			return lavfakenet.Link{Delay: 5 * time.Millisecond}
		})
		l, err := n.Host(lavfakenet.HostInfo{Host: "b"}).Listen("tcp", serverAddr)
		lavassert.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "hello")
		})}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "a"}).DialContext}
		client := &http.Client{Transport: transport}
		body(n, func(timeout time.Duration) (string, error) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+serverAddr, http.NoBody)
			lavassert.NoError(t, err)
			answer, err := client.Do(request)
			if err != nil {
				return "", err
			}
			defer func() { _ = answer.Body.Close() }()
			text, err := io.ReadAll(answer.Body)
			return string(text), err
		})
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
	})
}

func TestNetwork(t *testing.T) {
	t.Run("bytes take the delay of the path", func(t *testing.T) {
		bubble(t, func(_ *lavfakenet.Network, get func(time.Duration) (string, error)) {
			began := time.Now()
			text, err := get(time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "answer", text, "hello")
			lavassert.Equal(t, "time", time.Since(began), 20*time.Millisecond)
		})
	})
	t.Run("a silenced connection hangs and a new one works", func(t *testing.T) {
		bubble(t, func(n *lavfakenet.Network, get func(time.Duration) (string, error)) {
			_, err := get(time.Second)
			lavassert.NoError(t, err)
			n.Blackhole("a", "b")
			_, err = get(time.Second)
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
			_, err = get(time.Second)
			lavassert.NoError(t, err)
		})
	})
	t.Run("a cut path opens nothing until it is mended", func(t *testing.T) {
		bubble(t, func(n *lavfakenet.Network, get func(time.Duration) (string, error)) {
			n.SetPartitioned("a", "b", true)
			_, err := get(time.Second)
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
			n.SetPartitioned("a", "b", false)
			_, err = get(time.Second)
			lavassert.NoError(t, err)
		})
	})
	t.Run("a host that is down refuses", func(t *testing.T) {
		bubble(t, func(n *lavfakenet.Network, get func(time.Duration) (string, error)) {
			n.SetDown("b", true)
			_, err := get(time.Second)
			lavassert.True(t, "refused", err != nil)
			n.SetDown("b", false)
			_, err = get(time.Second)
			lavassert.NoError(t, err)
		})
	})
}
