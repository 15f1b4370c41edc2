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

// cutter is a transport that cuts the answer to the first prompt short and
// notes at which hosts streams were resumed.
type cutter struct {
	mu sync.Mutex
	// cut is the host that answered first, status its answer's.
	cut     string
	status  int
	resumed []string
}

// RoundTrip implements http.RoundTripper.
func (c *cutter) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/resume":
		c.resumed = append(c.resumed, r.URL.Host)
	case r.URL.Path == "/v1/completions" && c.cut == "":
		c.cut, c.status = r.URL.Host, answer.StatusCode
		answer.Body = &cutBody{ReadCloser: answer.Body, left: 1000}
	}
	return answer, nil
}

// cutBody breaks off after some bytes, as a connection that was lost.
type cutBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *cutBody) Read(buf []byte) (int, error) {
	if b.left == 0 {
		return 0, errors.New("connection lost")
	}
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.left)])
	b.left -= n
	return n, err
}

// resumesElsewhere checks that a stream which is cut goes on at another host.
func resumesElsewhere(t *testing.T, f *fleet) {
	wire := &cutter{}
	client := lavclient.New(lavclient.Settings{Seeds: f.client.Entries(t.Context()), Credential: token}, &http.Client{Transport: wire})
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
	lavassert.Equal(t, "status of the answer that is cut", wire.status, http.StatusOK)
	lavassert.AtLeast(t, "resumed", len(wire.resumed), 1)
	lavassert.True(t, "at another host", len(wire.resumed) > 0 && wire.resumed[0] != wire.cut)
}
