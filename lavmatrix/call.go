package lavmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// bytesPerToken is the number of prompt bytes that a fake engine counts as one
// token.
const bytesPerToken = 4

// answerTokens is the length of each prompt's answer, in tokens.
const answerTokens = 20

// call is a request and the result that its caller received.
type call struct {
	path    string
	body    []byte
	kind    lavrequest.Kind
	key     string
	timeout time.Duration
	// crashesEngine is true for a prompt that crashes the engine that runs it.
	crashesEngine bool
	// wantText is the complete expected answer of a prompt, and empty for other
	// calls.
	wantText string

	status  int
	outcome lavrequest.Outcome
	text    string
	// began is the start of the last attempt.
	began time.Time
	// elapsed is the time from began to the end of the call.
	elapsed time.Duration
	err     error
	// host is the index of the entry host that the last attempt was sent to.
	host int
}

// newPrompt returns a streaming completion request whose prompt starts with
// begin and has at least the given number of tokens.
func newPrompt(begin string, tokens int, timeout time.Duration) *call {
	text := begin + strings.Repeat(" and on", max(0, tokens*bytesPerToken-len(begin))/len(" and on")+1)
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{model, text, answerTokens, true})
	if err != nil {
		// Strings, numbers and booleans can always be encoded as JSON.
		panic(err)
	}
	return &call{path: "/v1/completions", body: body, timeout: timeout, wantText: lavfake.AnswerText(text, 0, answerTokens)}
}

// newOrder returns a call that is not repeatable, with key as its idempotency
// key.
func newOrder(key string) *call {
	return &call{path: "/services/" + service + "/orders", body: []byte(key), kind: lavrequest.KindOrder, key: key, timeout: 4 * time.Second}
}

// newLookup returns an idempotent call to the order service.
func newLookup() *call {
	return &call{path: "/services/" + service + "/lookups", kind: lavrequest.KindLookup, timeout: 4 * time.Second}
}

// answered reports whether the caller received the complete answer.
func (c *call) answered() bool {
	return c.status == http.StatusOK && c.outcome == lavrequest.OutcomeDone && c.text == c.wantText
}

// lateAnswerWait is how long after the deadline a caller keeps waiting, so that
// late answers are observed.
const lateAnswerWait = 4 * time.Second

// send sends a call to an entry host and waits until the call ends. It tries
// the next host if the host does not accept a connection.
func (s *system) send(c *call, host int) *call {
	for i := range s.hosts {
		// The full timeout applies to each host that is tried.
		c.began = time.Now()
		c.host = (host + i) % len(s.hosts)
		c.exchange(s.ctx, s.callers[host], s.hosts[c.host].settings.Entry.String())
		if !dialFailed(c.err) {
			break
		}
	}
	c.elapsed = time.Since(c.began)
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	return c
}

// dialFailed reports whether the connection was not established. The call has
// not been sent in that case, so it is safe to try the next host.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exchange sends the request to an entry host and stores the response in c.
func (c *call) exchange(ctx context.Context, client *http.Client, entry string) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+lateAnswerWait)
	defer cancel()
	c.err = nil
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+c.path, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		c.err = err
		return
	}
	request.ContentLength = int64(len(c.body))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(lavrequest.HeaderKind, c.kind.String())
	request.Header.Set(lavrequest.HeaderTimeout, c.timeout.String())
	if c.key != "" {
		request.Header.Set(lavrequest.HeaderIdempotencyKey, c.key)
	}
	answer, err := client.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = answer.Body.Close() }()
	c.status = answer.StatusCode
	if c.wantText != "" && answer.StatusCode == http.StatusOK {
		c.readStream(answer)
		return
	}
	body, err := io.ReadAll(answer.Body)
	c.err = err
	if answer.StatusCode != http.StatusOK {
		c.text = string(body)
	}
	c.outcome, _ = lavrequest.ParseOutcome(answer.Header.Get(lavrequest.HeaderOutcome))
}

// readStream reads an answer sent as server-sent events. Its outcome is in the
// HTTP trailer.
func (c *call) readStream(answer *http.Response) {
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			c.text += chunk.Choices[0].Text
		}
	}
	c.err = lines.Err()
	c.outcome, _ = lavrequest.ParseOutcome(answer.Trailer.Get(lavrequest.HeaderOutcome))
}
