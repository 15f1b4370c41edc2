package lavhost

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

// TestRequestAcceptedJustBeforeTheEnd checks a planned stop that closes the listener while a
// request that was just accepted runs: it must be answered.
func TestRequestAcceptedJustBeforeTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, work = "10.0.0.1:80", 300 * time.Millisecond
		network := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
			return lavfakenet.Link{Delay: time.Millisecond}
		})
		l, err := network.Host(lavfakenet.HostInfo{Host: "host"}).Listen("tcp", address)
		lavassert.NoError(t, err)
		service := newHTTPService("callers", l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			_, _ = io.WriteString(w, "answer")
		}), discardLogger)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- service.Serve(ctx) }()

		transport := &http.Transport{DialContext: network.Host(lavfakenet.HostInfo{Host: "caller"}).DialContext}
		defer transport.CloseIdleConnections()
		answer := make(chan string, 1)
		go func() { answer <- fetch(&http.Client{Transport: transport}, "http://"+address) }()
		time.Sleep(work / 3)
		closing, cancel := context.WithTimeout(ctx, maxCloseWait)
		defer cancel()
		service.shutdown(closing)
		stop()
		lavassert.ErrorIs(t, <-ended, context.Canceled)
		lavassert.Equal(t, "answer", <-answer, "answer")
	})
}

// fetch returns the body of a response, or the error.
func fetch(client *http.Client, url string) string {
	response, err := client.Get(url) //nolint:noctx // The test ends with the response.
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
