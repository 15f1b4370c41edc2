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

// withServer runs body in a synctest bubble with a network and a function that
// sends a GET request from host a to an HTTP server on host b. The server
// responds with "hello".
func withServer(t *testing.T, body func(n *lavfakenet.Network, get func(timeout time.Duration) (string, error))) {
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
			response, err := client.Do(request)
			if err != nil {
				return "", err
			}
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			return string(text), err
		})
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
	})
}

func TestNetwork(t *testing.T) {
	t.Run("each direction has the delay of the link", func(t *testing.T) {
		withServer(t, func(_ *lavfakenet.Network, get func(time.Duration) (string, error)) {
			start := time.Now()
			text, err := get(time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "response body", text, "hello")
			lavassert.Equal(t, "elapsed time", time.Since(start), 20*time.Millisecond)
		})
	})
	t.Run("a blackholed connection hangs and a new one works", func(t *testing.T) {
		withServer(t, func(n *lavfakenet.Network, get func(time.Duration) (string, error)) {
			_, err := get(time.Second)
			lavassert.NoError(t, err)
			n.Blackhole("a", "b")
			_, err = get(time.Second)
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
			_, err = get(time.Second)
			lavassert.NoError(t, err)
		})
	})
	t.Run("partitioned hosts cannot connect until the partition ends", func(t *testing.T) {
		withServer(t, func(n *lavfakenet.Network, get func(time.Duration) (string, error)) {
			n.SetPartitioned("a", "b", true)
			_, err := get(time.Second)
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
			n.SetPartitioned("a", "b", false)
			_, err = get(time.Second)
			lavassert.NoError(t, err)
		})
	})
	t.Run("a host that is down refuses connections", func(t *testing.T) {
		withServer(t, func(n *lavfakenet.Network, get func(time.Duration) (string, error)) {
			n.SetDown("b", true)
			_, err := get(time.Second)
			lavassert.True(t, "connection is refused", err != nil)
			n.SetDown("b", false)
			_, err = get(time.Second)
			lavassert.NoError(t, err)
		})
	})
}
