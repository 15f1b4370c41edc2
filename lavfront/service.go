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

// Times and bounds of calls of plain services.
const (
	callRetryFirst   = 20 * time.Millisecond
	callRetryLongest = time.Second
	// lookupTimeout bounds one try of an idempotent call, so that a silent
	// connection leaves time for another.
	lookupTimeout = 5 * time.Second
	// maxCallTries bounds the tries of one call.
	maxCallTries = 8
)

// headersKept are the headers that services get and callers get back, beside
// the content type.
var (
	headersToService = []string{"Accept", "Accept-Language", "Content-Language", "If-Match", "If-None-Match", "If-Modified-Since"}
	headersToCaller  = []string{"Cache-Control", "Content-Language", "Etag", "Last-Modified", "Location", "Retry-After"}
)

// serviceCall is a call of a plain service that has been read and checked.
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
}

// service runs one call of a plain service. A call that is not repeatable
// needs an idempotency key and goes through the ledger.
func (f *Front) service(w http.ResponseWriter, r *http.Request) {
	c, err := f.readCall(w, r)
	if err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	if c.repeatable() {
		classify(r.Context(), c.customer, lavrequest.KindLookup, lavrequest.ClassShort)
		f.lookup(w, r, c)
	} else {
		classify(r.Context(), c.customer, lavrequest.KindOrder, lavrequest.ClassShort)
		f.order(w, r, c)
	}
}

// order runs a call that is not repeatable. It goes on if the caller leaves, so
// that he finds the outcome when he asks again.
func (f *Front) order(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), c.timeout)
	defer cancel()
	call := lavledger.Call{Customer: c.customer, Key: c.key, Fingerprint: c.fingerprint()}
	result, err := f.parts.Ledger.Run(ctx, call, func(ctx context.Context) (lavledger.Answer, error) {
		return f.tryCall(ctx, c, func(err error) bool { return errors.Is(err, lavledger.ErrNotSent) })
	})
	if err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	writeResult(w, result)
}

// lookup runs an idempotent call until an endpoint answers.
func (f *Front) lookup(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	answer, err := f.tryCall(ctx, c, func(error) bool { return true })
	if err != nil {
		failed := lavrequest.OutcomeUnknown
		if errors.Is(err, lavledger.ErrNotSent) {
			failed = lavrequest.OutcomeNotRun
		}
		failureOf(err, failed).write(w)
		return
	}
	writeResult(w, lavledger.Result{Outcome: lavrequest.OutcomeDone, Answer: answer})
}

// tryCall calls one server after another while again allows it and there are
// time and budget. The error wraps ErrNotSent only if no try sent a byte.
func (f *Front) tryCall(ctx context.Context, c *serviceCall, again func(error) bool) (lavledger.Answer, error) {
	backoff := lavretry.Backoff{First: callRetryFirst, Longest: callRetryLongest}
	var failed []string
	var sent error
	for try := 1; ; try++ {
		answer, server, err := f.servers.call(ctx, c, failed)
		if err == nil {
			f.budget.RecordSuccess(c.customer)
			return answer, nil
		}
		failed = append(failed, server)
		if !errors.Is(err, lavledger.ErrNotSent) {
			sent = err
		}
		mayRetry := try < maxCallTries && ctx.Err() == nil && again(err) && f.budget.Spend(c.customer)
		if mayRetry {
			mayRetry = backoff.Wait(ctx) == nil
		}
		if !mayRetry {
			if sent != nil {
				err = sent
			}
			return lavledger.Answer{}, err
		}
	}
}

func (f *Front) readCall(w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	customer, err := f.customer(r)
	if err != nil {
		return nil, err
	}
	if err := lavstep.Failpoint(r.Context(), lavstep.CallerRead, customer.Name); err != nil {
		return nil, err
	}
	service, ok := f.parts.Releases.State().Service(r.PathValue("Name"))
	if !ok {
		return nil, notFound("unknown service " + r.PathValue("Name"))
	}
	allowed, err := timeout(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBytes))
	if err != nil {
		return nil, badRequest("request body: " + err.Error())
	}
	c := &serviceCall{
		customer: customer.Name,
		service:  service,
		method:   r.Method,
		// A cleaned path can't pass a prefix by and still mean the same.
		path:    path.Clean("/" + r.PathValue("Path")),
		query:   r.URL.RawQuery,
		header:  keep(r.Header, headersToService),
		key:     r.Header.Get(lavrequest.HeaderIdempotencyKey),
		body:    body,
		timeout: allowed,
	}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		c.header.Set("Content-Type", contentType)
	}
	if !c.repeatable() && c.key == "" {
		return nil, badRequest("this call may not be repeated: it needs an " + lavrequest.HeaderIdempotencyKey)
	}
	return c, nil
}

// keep returns the headers of those names.
func keep(from http.Header, names []string) http.Header {
	kept := make(http.Header)
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			kept[name] = slices.Clone(values)
		}
	}
	return kept
}

// repeatable reports whether the call may be sent twice.
func (c *serviceCall) repeatable() bool {
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

func (c *serviceCall) fingerprint() uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(c.method + "\x00" + c.service.Name + "\x00" + c.path + "\x00" + c.query + "\x00")
	_, _ = sum.Write(c.body)
	return sum.Sum64()
}

// target is the URL of the call at a server.
func (c *serviceCall) target(server string) string {
	return (&url.URL{Scheme: "http", Host: server, Path: c.path, RawQuery: c.query}).String()
}

// tryTimeout bounds one try.
func (c *serviceCall) tryTimeout() time.Duration {
	switch {
	case !c.repeatable():
		return c.timeout
	case c.service.Timeout > 0:
		return time.Duration(c.service.Timeout)
	default:
		return lookupTimeout
	}
}

// errNoServer means that no endpoint of the service takes work.
var errNoServer = errors.New("no endpoint of the service takes work")

func noServer(service string) error {
	return lavstep.Wrap(errors.Mark(errNoServer, lavledger.ErrNotSent), lavstep.ServiceCall, service)
}

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
		_, _ = w.Write(answer.Body)
	case lavrequest.OutcomeNotRun:
		f := &failure{
			status: http.StatusServiceUnavailable, outcome: result.Outcome, retryAfter: retryAfterFault,
			kind: "server_error", message: "the call was not run",
		}
		f.write(w)
	default:
		f := &failure{status: http.StatusBadGateway, outcome: result.Outcome, kind: "server_error", message: "the call may have run; it will not be repeated"}
		f.write(w)
	}
}
