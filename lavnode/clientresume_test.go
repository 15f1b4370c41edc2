package lavnode_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"

	"github.com/cockroachdb/errors"
)

// truncatingTransport is a transport that truncates the response to the first prompt
// and records the hosts at which streams are resumed.
type truncatingTransport struct {
	mu sync.Mutex
	// firstHost is the host of the truncated response, and status is its status code.
	firstHost string
	status    int
	resumed   []string
}

// RoundTrip implements http.RoundTripper.
func (c *truncatingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/resume":
		c.resumed = append(c.resumed, r.URL.Host)
	case r.URL.Path == "/v1/completions" && c.firstHost == "":
		c.firstHost, c.status = r.URL.Host, response.StatusCode
		response.Body = &truncatedBody{ReadCloser: response.Body, remaining: 1000}
	}
	return response, nil
}

// truncatedBody fails after the remaining bytes, like a lost connection.
type truncatedBody struct {
	io.ReadCloser
	remaining int
}

// Read implements io.Reader.
func (b *truncatedBody) Read(buf []byte) (int, error) {
	if b.remaining == 0 {
		return 0, errors.New("connection lost")
	}
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.remaining)])
	b.remaining -= n
	return n, err
}

// testResumeAtOtherHost checks that the client resumes an interrupted stream at
// another host.
func testResumeAtOtherHost(t *testing.T, f *fleet) {
	transport := &truncatingTransport{}
	client := lavclient.New(lavclient.Settings{Seeds: f.client.Entries(t.Context()), Credential: token}, &http.Client{Transport: transport})
	prompt := lavclient.Prompt{Model: "caption", Text: "a pack of forty stickers", MaxTokens: 400, Timeout: 30 * time.Second}
	stream, err := client.Prompt(t.Context(), prompt)
	lavassert.NoError(t, err)
	defer stream.Close()
	var text strings.Builder
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		lavassert.NoError(t, err)
		text.WriteString(piece.Text)
	}
	lavassert.Equal(t, "answer", text.String(), lavfake.AnswerText(prompt.Text, 0, 400))
	lavassert.Equal(t, "status of the truncated response", transport.status, http.StatusOK)
	lavassert.AtLeast(t, "number of resumes", len(transport.resumed), 1)
	lavassert.True(t, "resumed at another host", len(transport.resumed) > 0 && transport.resumed[0] != transport.firstHost)
}
