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

// responseGrace is how long after the deadline of a call the client waits for the
// response. The entry host ends the call at the deadline, and its response needs some
// time to arrive.
const responseGrace = time.Second

// defaultTimeout applies to calls without a timeout.
const defaultTimeout = time.Minute

// Call describes a call to the fleet.
type Call struct {
	// Method is the HTTP method; empty means POST.
	Method string
	Path   string
	Body   []byte
	Kind   lavrequest.Kind
	// Key is the idempotency key, required to retry a call of a kind that is not
	// repeatable. NewKey generates one.
	Key     string
	Timeout time.Duration
}

// repeatable reports whether the call may be sent twice, because its kind is idempotent
// or because it has an idempotency key.
func (c *Call) repeatable() bool { return c.Kind.Repeatable() || c.Key != "" }

// timeout returns the timeout of the call or the default.
func (c *Call) timeout() time.Duration {
	if c.Timeout <= 0 {
		return defaultTimeout
	}
	return c.Timeout
}

// errNoEntries is returned if there are neither cached entry addresses nor seeds.
var errNoEntries = errors.New("no entry host is known")

// Do sends the call, and retries it until a response is final, the call must not be
// sent again, or the deadline is too close for another attempt. A final response is
// returned whatever its status. The caller must close the response body.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	deadline := time.Now().Add(call.timeout())
	// The response to a call that ends at its deadline arrives a little later.
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	response, err := c.sendWithRetries(ctx, &call, deadline)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// cancelBody is a response body that cancels the context of the call when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the call.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// sendWithRetries sends the call until retryDecision rules out another attempt. Before
// each attempt, it selects the preferred entry host again.
func (c *Client) sendWithRetries(ctx context.Context, call *Call, deadline time.Time) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		entries := c.Entries(ctx)
		if len(entries) == 0 {
			return nil, errNoEntries
		}
		response, err := c.sendOnce(ctx, entries[0], call, deadline)
		if err != nil {
			c.markFailed(entries[0])
		}
		result := newAttemptResult(response, err)
		result.repeatable = call.repeatable()
		wait, retry := retryDecision(result, attempt, time.Until(deadline))
		if !retry || ctx.Err() != nil {
			return response, err
		}
		if response != nil {
			_ = response.Body.Close()
		}
		if lavpause.For(ctx, wait) != nil {
			return nil, ctx.Err()
		}
	}
}

// sendOnce sends the call to one entry host, with the remaining time as its timeout.
func (c *Client) sendOnce(ctx context.Context, entry netip.AddrPort, call *Call, deadline time.Time) (*http.Response, error) {
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	// NopCloser hides the type of the reader. Otherwise, NewRequestWithContext would set
	// GetBody, and the transport could resend the request on its own.
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
	return c.doAuthenticated(request)
}

// doAuthenticated adds the customer's credential to a request and sends it.
func (c *Client) doAuthenticated(request *http.Request) (*http.Response, error) {
	request.Header.Set("Authorization", "Bearer "+c.settings.Credential)
	return c.http.Do(request)
}

// parseRetryAfter returns the duration in the Retry-After header, or 0 if the header is
// missing or not a positive number of seconds.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
