package lavclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// This example requests a caption and prints each chunk when it arrives.
func ExampleClient_Prompt() {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/completions" {
			http.NotFound(w, r)
			return
		}
		w.Header().Set(lavrequest.HeaderRequest, "r")
		_, _ = io.WriteString(w, formatEvent("r", 1, false)+formatEvent("r", 3, true))
	}))
	defer host.Close()
	seed := netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
	client := lavclient.New(lavclient.Settings{Seeds: []netip.AddrPort{seed}, Credential: "till-7"}, &http.Client{})

	prompt := lavclient.Prompt{Model: "caption", Text: "a sticker for the till", MaxTokens: 3, Timeout: 5 * time.Second}
	stream, err := client.Prompt(context.Background(), prompt)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			fmt.Println("complete")
			return
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(strings.TrimSpace(chunk.Text))
	}
	// Output:
	// t1
	// t3
	// complete
}
