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

// Prompt is a prompt for a model.
type Prompt struct {
	Model     string
	Adapter   string
	Text      string
	MaxTokens int
	Kind      lavrequest.Kind
	Timeout   time.Duration
}

// Piece is a part of an answer.
type Piece struct {
	Text string
	// Tokens is the number of answer tokens up to the end of this piece.
	Tokens int
	Final  bool
}

// Bounds of a stream. Entry hosts send a heartbeat at least once a second, so
// that a connection which is silent for longer than silenceBound is lost.
const (
	maxResumes   = 4
	silenceBound = 5 * time.Second
)

// headerLastEvent names the offset from which a stream is resumed.
const headerLastEvent = "Last-Event-ID"

// Stream is the answer to one prompt.
type Stream struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	events *eventReader
	// silence closes the body of a connection that has gone silent.
	silence  *time.Timer
	deadline time.Time
	// request is the ID under which the prompt runs; token resumes it.
	request string
	token   string
	tokens  int
	final   bool
	resumes int
}

// promptBody is the body of POST /v1/completions.
type promptBody struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Prompt sends a prompt and returns the stream of its answer, or a *Failure if
// it was refused.
func (c *Client) Prompt(ctx context.Context, p Prompt) (*Stream, error) {
	body, err := json.Marshal(promptBody{Model: p.Model, Adapter: p.Adapter, Prompt: p.Text, MaxTokens: p.MaxTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	call := Call{Path: "/v1/completions", Body: body, Kind: p.Kind, Timeout: p.Timeout}
	deadline := time.Now().Add(call.timeout())
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	answer, err := c.try(ctx, &call, deadline)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Stream{client: c, ctx: ctx, cancel: cancel, deadline: deadline}
	if answer.StatusCode != http.StatusOK {
		defer s.Close()
		s.body = answer.Body
		return nil, failureOf(answer)
	}
	s.request = answer.Header.Get(lavrequest.HeaderRequest)
	s.attach(answer)
	return s, nil
}

// attach reads on from an answer.
func (s *Stream) attach(answer *http.Response) {
	s.body = answer.Body
	if token := answer.Header.Get(lavrequest.HeaderResume); token != "" {
		s.token = token
	}
	alive := func() {}
	if s.token != "" {
		// Without a token there would be nothing to gain by closing.
		s.silence = time.AfterFunc(silenceBound, func() { _ = answer.Body.Close() })
		alive = func() { s.silence.Reset(silenceBound) }
	}
	s.events = newEventReader(answer.Body, alive)
}

// detach ends the reading of the present answer.
func (s *Stream) detach() {
	if s.silence != nil {
		s.silence.Stop()
	}
	if s.body != nil {
		_ = s.body.Close()
	}
}

// Close frees the stream. A stream that is closed before its end is cancelled.
func (s *Stream) Close() {
	s.detach()
	s.cancel()
}

// Request returns the ID under which the prompt ran.
func (s *Stream) Request() string { return s.request }

// errBroken means that the answer ended before its final marker.
var errBroken = errors.New("answer broke off before its final marker")

// Next returns the next piece, and io.EOF once the answer is whole.
func (s *Stream) Next() (Piece, error) {
	for {
		e, err := s.events.next()
		switch {
		case err == nil && e.name == "error":
			return Piece{}, &Failure{Status: http.StatusOK, Message: messageOf([]byte(e.data))}
		case err == nil && e.data == lavengine.StreamEnd:
			if s.final {
				return Piece{}, io.EOF
			}
			return Piece{}, errBroken
		case err == nil:
			return s.take(e)
		case s.final && errors.Is(err, io.ErrUnexpectedEOF):
			return Piece{}, io.EOF
		}
		if err := s.resume(err); err != nil {
			return Piece{}, err
		}
	}
}

// take checks that an event belongs to this answer and follows what came
// before it.
func (s *Stream) take(e event) (Piece, error) {
	if e.token != "" {
		s.token = e.token
	}
	var chunk lavengine.Chunk
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return Piece{}, errors.Mark(err, errBroken)
	}
	end, err := strconv.Atoi(e.id)
	if err != nil || end < s.tokens || s.final || len(chunk.Choices) != 1 {
		return Piece{}, errors.Wrapf(errBroken, "event %q after %d tokens", e.id, s.tokens)
	}
	if s.request != "" && chunk.ID != s.request {
		return Piece{}, errors.Wrapf(errBroken, "event of request %s in the answer to %s", chunk.ID, s.request)
	}
	s.tokens = end
	s.final = chunk.Choices[0].FinishReason != nil
	return Piece{Text: chunk.Choices[0].Text, Tokens: end, Final: s.final}, nil
}

// resume goes on with a stream that broke, at any entry host that can.
func (s *Stream) resume(cause error) error {
	broken := errors.Mark(cause, errBroken)
	for s.token != "" && s.resumes < maxResumes && s.ctx.Err() == nil {
		s.resumes++
		entries := s.client.Entries(s.ctx)
		if len(entries) == 0 {
			return broken
		}
		// The host that broke off is tried last.
		entry := entries[s.resumes%len(entries)]
		answer, err := s.ask(entry)
		if err != nil {
			s.client.avoid(entry)
			continue
		}
		s.detach()
		if answer.StatusCode == http.StatusOK {
			s.attach(answer)
			return nil
		}
		s.body = answer.Body
		f := failureOf(answer)
		if f.RetryAfter == 0 || lavpause.For(s.ctx, f.RetryAfter) != nil {
			return errors.CombineErrors(broken, f)
		}
	}
	return broken
}

func (s *Stream) ask(entry netip.AddrPort) (*http.Response, error) {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+entry.String()+"/v1/resume", http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set(lavrequest.HeaderResume, s.token)
	request.Header.Set(headerLastEvent, strconv.Itoa(s.tokens))
	request.Header.Set(lavrequest.HeaderTimeout, max(time.Until(s.deadline), time.Millisecond).String())
	return s.client.sign(request)
}
