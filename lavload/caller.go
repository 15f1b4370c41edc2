package lavload

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// DeadlineGrace is how long after its deadline a request may end without being
// late. It allows for scheduling delays on the machine that runs the load.
const DeadlineGrace = 500 * time.Millisecond

// Result is the result of one request.
type Result struct {
	Verdict Verdict
	Kind    lavrequest.Kind
	// Class is the length class of a prompt.
	Class lavrequest.LengthClass
	// FirstToken is the time from the planned arrival to the first token, or
	// zero if there was none.
	FirstToken time.Duration
	// Took is the time from the planned arrival to the end of the request.
	Took time.Duration
	// Tokens is the number of answer tokens received.
	Tokens int
	// Outcome is the outcome that the system reported to the caller.
	Outcome lavrequest.Outcome
	// Why describes the error, if there was one.
	Why string
}

// Caller sends requests of one customer and classifies the answers.
type Caller struct {
	Client *lavclient.Client
	// Want returns the expected answer to a prompt. If Want is nil, every answer
	// that ends with its final marker counts as correct.
	Want func(p *lavclient.Prompt) string
}

// Prompt sends a prompt and reads its complete answer. Latencies are measured
// from due, the planned arrival time.
func (c *Caller) Prompt(ctx context.Context, p lavclient.Prompt, due time.Time) Result {
	r := Result{Kind: p.Kind, Class: lavrequest.ClassOf(len(p.Text) / lavrequest.BytesPerToken)}
	text, err := c.readAnswer(ctx, &p, due, &r)
	r.Took = time.Since(due)
	switch {
	case err != nil && c.Want != nil && !strings.HasPrefix(c.Want(&p), text):
		// A truncated answer has to be a prefix of the expected one.
		r.Verdict = VerdictMisdelivered
		r.Why = rootCause(err)
	case err != nil:
		r.setFailure(err, p.Timeout)
	case r.Took > p.Timeout+DeadlineGrace:
		r.Verdict = VerdictLate
	default:
		r.Verdict = c.compare(&p, text, r.Tokens)
		r.Outcome = lavrequest.OutcomeDone
	}
	return r
}

// readAnswer sends the prompt and returns the text of its answer. It sets the
// number of tokens and the time to the first token in r.
func (c *Caller) readAnswer(ctx context.Context, p *lavclient.Prompt, due time.Time, r *Result) (string, error) {
	stream, err := c.Client.Prompt(ctx, *p)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if r.Tokens == 0 && chunk.Tokens > 0 {
			r.FirstToken = time.Since(due)
		}
		r.Tokens = chunk.Tokens
		text.WriteString(chunk.Text)
	}
}

// compare compares a complete answer with the expected one.
func (c *Caller) compare(p *lavclient.Prompt, text string, tokens int) Verdict {
	if c.Want == nil {
		return VerdictAnswered
	}
	want := c.Want(p)
	switch {
	case text == want:
		return VerdictAnswered
	case tokens < p.MaxTokens && strings.HasPrefix(want, text):
		return VerdictIncomplete
	default:
		return VerdictMisdelivered
	}
}

// setFailure sets the verdict, outcome and error text of a request that ended
// with an error.
func (r *Result) setFailure(err error, timeout time.Duration) {
	r.Why = "connection: " + rootCause(err)
	refused := false
	var f *lavclient.Failure
	switch {
	case errors.As(err, &f):
		r.Outcome = f.Outcome
		refused = f.Outcome == lavrequest.OutcomeNotRun && f.Status != http.StatusOK
		r.Why = f.Error()
	case errors.Is(err, context.DeadlineExceeded):
		r.Why = "deadline"
	}
	switch {
	case r.Took > timeout+DeadlineGrace:
		r.Verdict = VerdictLate
	case refused:
		r.Verdict = VerdictRefused
	default:
		r.Verdict = VerdictFailed
	}
}

// rootCause returns the text of the innermost cause of an error. It contains no
// addresses, so failures with the same cause are counted together.
func rootCause(err error) string { return errors.UnwrapAll(err).Error() }

// Service sends a call to a plain service. Latencies are measured from due, the
// planned arrival time.
func (c *Caller) Service(ctx context.Context, call lavclient.Call, due time.Time) Result {
	r := Result{Kind: call.Kind}
	err := c.call(ctx, call, &r)
	r.Took = time.Since(due)
	switch {
	case err != nil:
		r.setFailure(err, call.Timeout)
	case r.Took > call.Timeout+DeadlineGrace:
		r.Verdict = VerdictLate
	case r.Outcome == lavrequest.OutcomeDone:
		r.Verdict = VerdictAnswered
	case r.Outcome == lavrequest.OutcomeNotRun:
		r.Verdict = VerdictRefused
	default:
		r.Verdict = VerdictFailed
	}
	return r
}

// call sends the call, discards the answer's body and sets the outcome in r.
func (c *Caller) call(ctx context.Context, call lavclient.Call, r *Result) error {
	answer, err := c.Client.Do(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	r.Outcome, _ = lavrequest.ParseOutcome(answer.Header.Get(lavrequest.HeaderOutcome))
	if r.Outcome != lavrequest.OutcomeDone {
		r.Why = answer.Status + ", outcome " + r.Outcome.String()
	}
	return nil
}
