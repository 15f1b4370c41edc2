package lavfront

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Limits for calls to plain services.
const (
	callRetryInitialDelay = 20 * time.Millisecond
	callRetryMaxDelay     = time.Second
	// lookupTimeout is the default timeout of one attempt of a repeatable call.
	// It leaves time for another attempt if an endpoint does not respond.
	lookupTimeout = 5 * time.Second
	// maxCallAttempts is the maximum number of attempts of one call.
	maxCallAttempts = 8
)

// Headers that are forwarded, in addition to Content-Type: from the caller to the
// service, and from the service to the caller.
var (
	headersToService = []string{"Accept", "Accept-Language", "Content-Language", "If-Match", "If-None-Match", "If-Modified-Since"}
	headersToCaller  = []string{"Cache-Control", "Content-Language", "Etag", "Last-Modified", "Location", "Retry-After"}
)

// serviceCall is a call to a plain service that has been read and validated.
type serviceCall struct {
	customer string
	service  lavrelease.Service
	method   string
	path     string
	query    string
	header   http.Header
	key      string
	body     []byte
	timeout  time.Duration
	// held is the response of the service while it is in memory.
	held heldResponse
}

// handleServiceCall runs one call to a plain service. A call that is not repeatable
// needs an idempotency key and runs through the ledger, which stores its outcome.
func (f *Front) handleServiceCall(w http.ResponseWriter, r *http.Request) {
	c, err := f.readServiceCall(w, r)
	if err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	if c.isRepeatable() {
		classify(r.Context(), c.customer, lavrequest.KindLookup, lavrequest.ClassShort)
		f.handleLookup(w, r, c)
	} else {
		classify(r.Context(), c.customer, lavrequest.KindOrder, lavrequest.ClassShort)
		f.handleOrder(w, r, c)
	}
}

// handleOrder runs a call that is not repeatable. The call continues after the caller
// disconnects, so that the caller gets the outcome by repeating the request with the
// same idempotency key.
func (f *Front) handleOrder(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), c.timeout)
	defer cancel()
	defer c.held.release()
	call := lavledger.Call{Customer: c.customer, Key: c.key, Fingerprint: c.fingerprint()}
	result, err := f.config.Ledger.Run(ctx, call, func(ctx context.Context) (lavledger.Answer, error) {
		return f.callWithRetries(ctx, c, func(err error) bool { return errors.Is(err, lavledger.ErrNotSent) })
	})
	if err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	writeResult(w, result)
}

// handleLookup runs a repeatable call and retries it after any error.
func (f *Front) handleLookup(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	defer c.held.release()
	answer, err := f.callWithRetries(ctx, c, func(error) bool { return true })
	if err != nil {
		outcome := lavrequest.OutcomeUnknown
		if errors.Is(err, lavledger.ErrNotSent) {
			outcome = lavrequest.OutcomeNotRun
		}
		failureOf(err, outcome).write(w)
		return
	}
	writeResult(w, lavledger.Result{Outcome: lavrequest.OutcomeDone, Answer: answer})
}

// callWithRetries sends the call until an attempt succeeds. It retries only while
// retryable accepts the error, the deadline has not passed, and the limit of attempts
// and the retry budget of the customer permit it. It prefers endpoints that have not
// failed. The returned error wraps ErrNotSent only if no attempt sent a byte.
func (f *Front) callWithRetries(ctx context.Context, c *serviceCall, retryable func(error) bool) (lavledger.Answer, error) {
	backoff := lavretry.Backoff{First: callRetryInitialDelay, Longest: callRetryMaxDelay}
	var failedEndpoints []string
	var sentErr error
	for attempt := 1; ; attempt++ {
		answer, endpoint, err := f.serviceClient.call(ctx, c, failedEndpoints)
		if err == nil {
			f.budget.RecordSuccess(c.customer)
			return answer, nil
		}
		failedEndpoints = append(failedEndpoints, endpoint)
		if !errors.Is(err, lavledger.ErrNotSent) {
			sentErr = err
		}
		mayRetry := attempt < maxCallAttempts && ctx.Err() == nil && retryable(err) && f.budget.Spend(c.customer)
		if mayRetry {
			mayRetry = backoff.Wait(ctx) == nil
		}
		if !mayRetry {
			if sentErr != nil {
				err = sentErr
			}
			return lavledger.Answer{}, err
		}
	}
}

// readServiceCall reads and validates a call to a plain service.
func (f *Front) readServiceCall(w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	customer, err := f.authenticate(r)
	if err != nil {
		return nil, err
	}
	if err := lavstep.Failpoint(r.Context(), lavstep.CallerRead, customer.Name); err != nil {
		return nil, err
	}
	service, ok := f.config.Releases.State().Service(r.PathValue("Name"))
	if !ok {
		return nil, notFound("unknown service " + r.PathValue("Name"))
	}
	timeout, err := requestTimeout(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBodyBytes))
	if err != nil {
		return nil, badRequest("request body: " + err.Error())
	}
	c := &serviceCall{
		customer: customer.Name,
		service:  service,
		method:   r.Method,
		// Cleaning the path ensures that elements such as ".." cannot be used
		// to evade the prefixes in NotRepeatable.
		path:    path.Clean("/" + r.PathValue("Path")),
		query:   r.URL.RawQuery,
		header:  selectHeaders(r.Header, headersToService),
		key:     r.Header.Get(lavrequest.HeaderIdempotencyKey),
		body:    body,
		timeout: timeout,
	}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		c.header.Set("Content-Type", contentType)
	}
	if !c.isRepeatable() && c.key == "" {
		return nil, badRequest("this call may not be repeated: it needs an " + lavrequest.HeaderIdempotencyKey)
	}
	return c, nil
}

// selectHeaders returns a copy of the headers with the given names.
func selectHeaders(from http.Header, names []string) http.Header {
	selected := make(http.Header)
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			selected[name] = slices.Clone(values)
		}
	}
	return selected
}

// isRepeatable reports whether the call may be sent more than once: its method is GET
// or HEAD, or its path has no prefix that the service lists in NotRepeatable.
func (c *serviceCall) isRepeatable() bool {
	if c.method == http.MethodGet || c.method == http.MethodHead {
		return true
	}
	for _, prefix := range c.service.NotRepeatable {
		if strings.HasPrefix(c.path, prefix) {
			return false
		}
	}
	return true
}

// fingerprint returns a hash of the call, by which the ledger detects that an
// idempotency key is reused for a different call.
func (c *serviceCall) fingerprint() uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(c.method + "\x00" + c.service.Name + "\x00" + c.path + "\x00" + c.query + "\x00")
	_, _ = sum.Write(c.body)
	return sum.Sum64()
}

// targetURL returns the URL of the call at an endpoint, given as host:port.
func (c *serviceCall) targetURL(endpoint string) string {
	return (&url.URL{Scheme: "http", Host: endpoint, Path: c.path, RawQuery: c.query}).String()
}

// attemptTimeout returns the timeout of one attempt. A call that is not repeatable
// has the whole timeout of the caller.
func (c *serviceCall) attemptTimeout() time.Duration {
	switch {
	case !c.isRepeatable():
		return c.timeout
	case c.service.Timeout > 0:
		return time.Duration(c.service.Timeout)
	default:
		return lookupTimeout
	}
}

// errNoEndpoint means that no endpoint of the service accepts requests.
var errNoEndpoint = errors.New("no endpoint of the service takes work")

func noEndpointError(service string) error {
	return lavstep.Wrap(errors.Mark(errNoEndpoint, lavledger.ErrNotSent), lavstep.ServiceCall, service)
}

// writeResult sends the result of a call as the HTTP response.
func writeResult(w http.ResponseWriter, result lavledger.Result) {
	switch result.Outcome {
	case lavrequest.OutcomeDone:
		answer := result.Answer
		for name, values := range answer.Header {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Type", answer.ContentType)
		w.Header().Set(lavrequest.HeaderOutcome, result.Outcome.String())
		if answer.Truncated {
			w.Header().Set(lavrequest.HeaderTruncated, "true")
		}
		w.WriteHeader(answer.Status)
		writeBody(w, answer.Body)
	case lavrequest.OutcomeNotRun:
		f := &failure{
			status: http.StatusServiceUnavailable, outcome: result.Outcome, retryAfter: retryAfterTransient,
			errorType: "server_error", message: "the call was not run",
		}
		f.write(w)
	default:
		f := &failure{status: http.StatusBadGateway, outcome: result.Outcome, errorType: "server_error", message: "the call may have run; it will not be repeated"}
		f.write(w)
	}
}
