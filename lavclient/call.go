package lavclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// answerGrace is how long past a call's deadline its final answer is awaited.
const answerGrace = time.Second

// defaultTimeout is the time of a call that names none.
const defaultTimeout = time.Minute

// Call is one call of a fleet.
type Call struct {
	// Method is POST if empty.
	Method string
	Path   string
	Body   []byte
	Kind   lavrequest.Kind
	// Key names a call that is not repeatable.
	Key     string
	Timeout time.Duration
}

// repeatable reports whether the call may be sent twice: either it is
// idempotent, or its key makes it so.
func (c *Call) repeatable() bool { return c.Kind.Repeatable() || c.Key != "" }

func (c *Call) timeout() time.Duration {
	if c.Timeout <= 0 {
		return defaultTimeout
	}
	return c.Timeout
}

// errNoEntry means that neither the directory nor the seeds name a host.
var errNoEntry = errors.New("no entry host is known")

// Do sends the call until it is answered, or may not be sent again, or its
// time is over. The caller closes the answer's body.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	deadline := time.Now().Add(call.timeout())
	// The entry host ends the call at its deadline; its last word needs a
	// little longer to arrive.
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	answer, err := c.try(ctx, &call, deadline)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// cancelBody ends the call's context as its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func (c *Client) try(ctx context.Context, call *Call, deadline time.Time) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		entries := c.Entries(ctx)
		if len(entries) == 0 {
			return nil, errNoEntry
		}
		answer, err := c.send(ctx, entries[0], call, deadline)
		if err != nil {
			c.avoid(entries[0])
		}
		r := resultOf(answer, err)
		r.repeatable = call.repeatable()
		wait, again := decide(r, attempt, time.Until(deadline))
		if !again || ctx.Err() != nil {
			return answer, err
		}
		if answer != nil {
			_ = answer.Body.Close()
		}
		if lavpause.For(ctx, wait) != nil {
			return nil, ctx.Err()
		}
	}
}

func (c *Client) send(ctx context.Context, entry netip.AddrPort, call *Call, deadline time.Time) (*http.Response, error) {
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	// The body can't be read twice, so that the transport never replays it.
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+call.Path, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(lavrequest.HeaderKind, call.Kind.String())
	request.Header.Set(lavrequest.HeaderTimeout, max(time.Until(deadline), time.Millisecond).String())
	if call.Key != "" {
		request.Header.Set(lavrequest.HeaderIdempotencyKey, call.Key)
	}
	return c.sign(request)
}

// sign sends a request with the customer's credential.
func (c *Client) sign(request *http.Request) (*http.Response, error) {
	request.Header.Set("Authorization", "Bearer "+c.settings.Credential)
	return c.http.Do(request)
}

// retryAfter reads the time after which an answer says to come back.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
