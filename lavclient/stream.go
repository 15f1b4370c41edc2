package lavclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Prompt is a request for a completion by a model.
type Prompt struct {
	Model     string
	Adapter   string
	Text      string
	MaxTokens int
	Kind      lavrequest.Kind
	Timeout   time.Duration
}

// Chunk is a part of the text of an answer.
type Chunk struct {
	Text string
	// Tokens is the number of tokens of the answer up to the end of this chunk.
	Tokens int
	Final  bool
}

// Limits of a stream. Entry hosts send a heartbeat at least once a second. A connection
// without data for silenceTimeout is therefore considered lost.
const (
	maxResumes     = 4
	silenceTimeout = 5 * time.Second
)

// headerLastEventID is the header with the number of tokens received so far, from which
// the stream resumes.
const headerLastEventID = "Last-Event-ID"

// Stream reads the answer to one prompt. It is not safe for concurrent use.
type Stream struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	events *eventReader
	// silenceTimer closes the response body after silenceTimeout without data.
	silenceTimer *time.Timer
	deadline     time.Time
	// requestID is the ID that the entry host assigned to the prompt. resumeToken
	// authorizes resuming its stream.
	requestID   string
	resumeToken string
	tokens      int
	final       bool
	resumes     int
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Prompt sends a prompt and returns the stream of its answer. If the prompt is refused,
// the error is a *Failure.
func (c *Client) Prompt(ctx context.Context, p Prompt) (*Stream, error) {
	body, err := json.Marshal(completionRequest{Model: p.Model, Adapter: p.Adapter, Prompt: p.Text, MaxTokens: p.MaxTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	call := Call{Path: "/v1/completions", Body: body, Kind: p.Kind, Timeout: p.Timeout}
	deadline := time.Now().Add(call.timeout())
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	response, err := c.sendWithRetries(ctx, &call, deadline)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Stream{client: c, ctx: ctx, cancel: cancel, deadline: deadline}
	if response.StatusCode != http.StatusOK {
		defer s.Close()
		s.body = response.Body
		return nil, parseFailure(response)
	}
	s.attach(response)
	if s.requestID = response.Header.Get(lavrequest.HeaderRequest); s.requestID == "" {
		s.Close()
		return nil, errors.Wrap(errIncomplete, "success that names no request")
	}
	return s, nil
}

// attach makes the stream read from a response, and keeps its resume token if it has one.
func (s *Stream) attach(response *http.Response) {
	s.body = response.Body
	if token := response.Header.Get(lavrequest.HeaderResume); token != "" {
		s.resumeToken = token
	}
	onLine := func() {}
	if s.resumeToken != "" {
		// A stream without a resume token can't be resumed, so the connection
		// isn't closed early.
		s.silenceTimer = time.AfterFunc(silenceTimeout, func() { _ = response.Body.Close() })
		onLine = func() { s.silenceTimer.Reset(silenceTimeout) }
	}
	s.events = newEventReader(response.Body, onLine)
}

// detach stops reading from the current response.
func (s *Stream) detach() {
	if s.silenceTimer != nil {
		s.silenceTimer.Stop()
	}
	if s.body != nil {
		_ = s.body.Close()
	}
}

// Close releases the resources of the stream. If the answer is not complete yet, its
// generation is cancelled.
func (s *Stream) Close() {
	s.detach()
	s.cancel()
}

// RequestID returns the ID that the entry host assigned to the prompt.
func (s *Stream) RequestID() string { return s.requestID }

// errIncomplete marks errors of answers that ended before their final marker.
var errIncomplete = errors.New("answer ended before its final marker")

// Next returns the next chunk, and io.EOF after the last chunk of a complete answer. It
// resumes the stream at another entry host if the connection breaks.
func (s *Stream) Next() (Chunk, error) {
	for {
		e, err := s.events.next()
		switch {
		case err == nil && e.name == "error":
			return Chunk{}, &Failure{Status: http.StatusOK, Message: parseMessage([]byte(e.data))}
		case err == nil && e.data == lavengine.StreamEnd:
			if s.final {
				return Chunk{}, io.EOF
			}
			return Chunk{}, errIncomplete
		case err == nil:
			return s.parseChunk(e)
		case s.final && errors.Is(err, io.ErrUnexpectedEOF):
			return Chunk{}, io.EOF
		}
		if err := s.resume(err); err != nil {
			return Chunk{}, err
		}
	}
}

// parseChunk decodes an event. It returns an error if the event belongs to another
// request or doesn't continue the answer where the previous event ended.
func (s *Stream) parseChunk(e event) (Chunk, error) {
	if e.resumeToken != "" {
		s.resumeToken = e.resumeToken
	}
	var chunk lavengine.Chunk
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return Chunk{}, errors.Mark(err, errIncomplete)
	}
	end, err := strconv.Atoi(e.id)
	if err != nil || s.final || len(chunk.Choices) != 1 || !s.follows(&chunk, end) {
		return Chunk{}, errors.Wrapf(errIncomplete, "event %q after %d tokens", e.id, s.tokens)
	}
	if chunk.ID != s.requestID {
		return Chunk{}, errors.Wrapf(errIncomplete, "event of request %s in the answer to %s", chunk.ID, s.requestID)
	}
	s.tokens = end
	s.final = chunk.Choices[0].FinishReason != nil
	return Chunk{Text: chunk.Choices[0].Text, Tokens: end, Final: s.final}, nil
}

// follows reports whether a chunk that ends at a number of tokens continues the answer. Entry hosts of
// earlier versions don't state where a chunk begins, so that only a repeated one can be told.
func (s *Stream) follows(chunk *lavengine.Chunk, end int) bool {
	if chunk.Offset != nil {
		return *chunk.Offset == s.tokens && end >= s.tokens
	}
	return end > s.tokens || end == s.tokens && chunk.Choices[0].Text == ""
}

// resume continues a broken stream at another entry host. It makes up to
// maxResumes attempts over the lifetime of the stream. If a host refuses with a
// Retry-After header, the next attempt waits for that time; without the header, resume
// fails. The cause is the error that broke the stream.
func (s *Stream) resume(cause error) error {
	incomplete := errors.Mark(cause, errIncomplete)
	for s.resumeToken != "" && s.resumes < maxResumes && s.ctx.Err() == nil {
		s.resumes++
		entries := s.client.Entries(s.ctx)
		if len(entries) == 0 {
			return incomplete
		}
		// Attempts start with the second entry, because the first one is probably
		// the host whose connection broke.
		entry := entries[s.resumes%len(entries)]
		response, err := s.requestResume(entry)
		if err != nil {
			s.client.markFailed(entry)
			continue
		}
		s.detach()
		if response.StatusCode == http.StatusOK {
			s.attach(response)
			return nil
		}
		s.body = response.Body
		f := parseFailure(response)
		if f.RetryAfter == 0 || lavpause.For(s.ctx, f.RetryAfter) != nil {
			return errors.CombineErrors(incomplete, f)
		}
	}
	return incomplete
}

// requestResume asks an entry host to continue the stream after the tokens received so far.
func (s *Stream) requestResume(entry netip.AddrPort) (*http.Response, error) {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+entry.String()+"/v1/resume", http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set(lavrequest.HeaderResume, s.resumeToken)
	request.Header.Set(headerLastEventID, strconv.Itoa(s.tokens))
	request.Header.Set(lavrequest.HeaderTimeout, max(time.Until(s.deadline), time.Millisecond).String())
	return s.client.doAuthenticated(request)
}
