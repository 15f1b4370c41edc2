package lavclient_test

import (
	"bytes"
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
	"lavenderrack.example/lavenderrack/lavfake"
)

const (
	// uploadBytes is the length of a call that is written while its answer is read.
	uploadBytes = 1 << 20
	// uploadRuns is how often each case runs, since the kernel tells either the reader or the writer.
	uploadRuns = 20
)

// TestResetDuringUploadIsNoAnswer guards against a part of an answer that counts as whole, since the connection was
// reset while the call was written, and against a whole one that counts as lost.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	for _, finishes := range []bool{false, true} {
		t.Run(fmt.Sprintf("Finishes=%v", finishes), func(t *testing.T) {
			host := httptest.NewServer(lavfake.HandleRaw(func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nLav-Outcome: Done\r\n\r\npart")
				if finishes {
					lavfake.FinishWriting(c)
				}
				time.Sleep(10 * time.Millisecond)
				lavfake.Reset(c)
			}))
			defer host.Close()
			seed := netip.MustParseAddrPort(host.Listener.Addr().String())
			client := lavclient.New(lavclient.Settings{Seeds: []netip.AddrPort{seed}}, &http.Client{Transport: &http.Transport{DialContext: lavfake.DialUnbuffered}})
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
