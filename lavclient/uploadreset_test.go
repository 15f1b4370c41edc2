package lavclient_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavclient"
)

const (
	// uploadBytes is the length of a call that is written while its answer is read.
	uploadBytes = 1 << 20
	// bufferBytes is about how much of it the kernel takes while the host doesn't read it.
	bufferBytes = 16 << 10
	// uploadRuns is how often each case runs, since the kernel tells either the reader or the writer.
	uploadRuns = 20
)

// dialUnbuffered opens a connection on which an upload that isn't read stalls soon.
func dialUnbuffered(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
}

// TestResetDuringUploadIsNoAnswer guards against a part of an answer that counts as whole, since the connection was
// reset while the call was written, and against a whole one that counts as lost.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	for _, finishes := range []bool{false, true} {
		t.Run(fmt.Sprintf("Finishes=%v", finishes), func(t *testing.T) {
			host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				socket := c.(*net.TCPConn)
				_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nLav-Outcome: Done\r\n\r\npart")
				if finishes {
					_ = socket.CloseWrite()
				}
				time.Sleep(10 * time.Millisecond)
				_ = socket.SetLinger(0)
				_ = socket.Close()
			}))
			defer host.Close()
			seed := netip.MustParseAddrPort(host.Listener.Addr().String())
			client := lavclient.New(lavclient.Settings{Seeds: []netip.AddrPort{seed}}, &http.Client{Transport: &http.Transport{DialContext: dialUnbuffered}})
			for range uploadRuns {
				response, err := client.Do(t.Context(), lavclient.Call{Path: "/", Body: bytes.Repeat([]byte("u"), uploadBytes)})
				lavassert.NoError(t, err)
				text, err := io.ReadAll(response.Body)
				lavassert.Equal(t, "whole", err == nil, finishes)
				lavassert.Equal(t, "text", string(text), "part")
				_ = response.Body.Close()
			}
		})
	}
}
