package lavhost

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/lavpressure"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

const (
	// unreadyRetryAfter is the retry delay sent to callers with status 503, for
	// example while the host's replica is unconfirmed.
	unreadyRetryAfter = 400 * time.Millisecond
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 10 * time.Second
	// responseMargin is the part of a caller's timeout that is reserved for
	// sending the response.
	responseMargin = 15 * time.Millisecond
	// writeSlack is how long after the deadline a caller may still read the
	// response.
	writeSlack = time.Second
)

// ingress serves requests from callers.
type ingress struct {
	state        *clusterState
	confirmation *confirmation
	// stateCurrent reports whether this host's state is up to date with the
	// store.
	stateCurrent func() bool
	relay        *lavrelay.Relay
	drain        *drain
	logger       *log.Logger
	// account counts what the host holds for its requests. It is nil where that isn't bounded.
	account *lavpressure.Account
	// running counts the requests in progress.
	running atomic.Int64
	// retries detects requests that a caller sends again.
	retries retryDetector
}

// ServeHTTP implements http.Handler.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	i.running.Add(1)
	defer i.running.Add(-1)
	if i.drain.started() {
		platform.SetClose(w.Header())
	}
	request := platform.DecodeRequest(r.Header)
	if err := i.confirmation.Await(r.Context()); err != nil {
		i.refuse(w, request, http.StatusServiceUnavailable, "host doesn't know yet what holds")
		return
	}
	index := i.state.Index()
	if index == nil {
		i.refuse(w, request, http.StatusServiceUnavailable, "no desired state")
		return
	}
	route, customer, status, reason := i.resolve(index, r, request)
	if status != 0 {
		i.refuse(w, request, status, reason)
		return
	}
	until := deadline(arrived, request.Timeout, route.Timeout)
	if !i.drain.MayBegin(route, until) {
		i.refuseLeaving(w, request)
		return
	}
	hold := i.beginHold(route)
	defer hold.End()
	wait := &bodyWait{drain: i.drain, control: http.NewResponseController(w), route: route, deadline: until}
	body, status := i.readBody(w, r, index.Limits(), hold, wait)
	if !wait.isAdmitted() {
		wait.drop()
		i.refuseLeaving(w, request)
		return
	}
	if status != 0 && hold != nil {
		i.refuseBody(w, request, status)
		return
	}
	if status != 0 {
		i.refuse(w, request, status, "body not read")
		return
	}
	call := newCall(r, request, route, customer, body, arrived, i.retries.isRetry(route.Name, request.Timeout))
	applyState(call, index, customer)
	call.Hold = hold
	if err := http.NewResponseController(w).SetWriteDeadline(call.Deadline.Add(writeSlack)); err != nil {
		i.logger.Warn().Err(err).Msg("failed to set write deadline")
	}
	i.relay.Serve(r.Context(), w, call)
}

// resolve returns the route and the customer of a request, or the status and
// the reason to refuse it with. A host whose state may be stale answers that
// the service is unavailable rather than that a route or a credential is
// unknown: it may have been added since.
func (i *ingress) resolve(index *lavconfig.Index, r *http.Request, request platform.Request) (*lavconfig.Route, *lavconfig.Customer, int, string) {
	notFound := func(status int, reason string) (*lavconfig.Route, *lavconfig.Customer, int, string) {
		if !i.stateCurrent() {
			return nil, nil, http.StatusServiceUnavailable, reason + ", but this host may not know the newest"
		}
		return nil, nil, status, reason
	}
	route := index.Route(r.Host, r.URL.Path)
	if route == nil {
		return notFound(http.StatusNotFound, "no such route")
	}
	if !index.RequiresCredentials() {
		return route, nil, 0, ""
	}
	customer := index.Customer(request.Credential)
	switch {
	case customer != nil:
		return route, customer, 0, ""
	case route.Public:
		return route, nil, 0, ""
	default:
		return notFound(http.StatusUnauthorized, "no such credential")
	}
}

// beginHold returns what the host holds for a new request, or nil where that isn't bounded.
func (i *ingress) beginHold(route *lavconfig.Route) *lavpressure.Hold {
	if i.account == nil {
		return nil
	}
	return i.account.Begin(route.Kind == lavconfig.KindStreaming && route.Repeatable())
}

// readBody reads the body up to the size limit, or returns the status to refuse
// the request with. If there is a hold, it must arrive until the deadline.
func (i *ingress) readBody(w http.ResponseWriter, r *http.Request, limits lavconfig.Limits, hold *lavpressure.Hold, wait *bodyWait) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if hold != nil {
		return receiveBody(w, r, limits.BodyBytes, hold, wait)
	}
	defer wait.watch()()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// refuseLeaving answers a request that can't end before this host has left.
func (i *ingress) refuseLeaving(w http.ResponseWriter, request platform.Request) {
	platform.SetClose(w.Header())
	i.refuse(w, request, http.StatusServiceUnavailable, "host is leaving")
}

// refuse answers a request that this host doesn't forward.
func (i *ingress) refuse(w http.ResponseWriter, request platform.Request, status int, reason string) {
	i.logger.Warn().Str("Request", request.ID).Int("Status", status).Str("Why", reason).Msg("request refused")
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = unreadyRetryAfter
	}
	platform.SetRefusalHeaders(w.Header(), request.ID, retryAfter)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n")
}

func newCall(r *http.Request, request platform.Request, route *lavconfig.Route, customer *lavconfig.Customer, body []byte, arrived time.Time, isRetry bool) *lavrelay.Call {
	service := route.PickService(rand.Float64())
	return &lavrelay.Call{
		ID:       request.ID,
		Method:   r.Method,
		Target:   r.RequestURI,
		HostName: r.Host,
		Header:   r.Header,
		Body:     body,
		Route:    route,
		Service:  service,
		Customer: customerName(customer),
		Prompt: lavplan.Prompt{
			Tokens:          request.PromptTokens,
			MaxOutputTokens: request.MaxOutputTokens,
			HintTokens:      request.HintTokens,
			Objective:       route.Objective,
			PauseObjective:  route.PauseObjective,
			Retried:         isRetry,
		},
		LastEvent:      request.LastEvent,
		FramedByClose:  !r.ProtoAtLeast(1, 1),
		Deadline:       deadline(arrived, request.Timeout, route.Timeout),
		Arrived:        arrived,
		PromptSegments: request.PromptSegments,
		Traits:         lavcrash.NewTraits(service, fingerprint(r, request, body), request.PromptSegments),
	}
}

// applyState sets what the desired state says about a call of a customer, who may be nil.
func applyState(call *lavrelay.Call, index *lavconfig.Index, customer *lavconfig.Customer) {
	call.Version = index.Version()
	rank := index.Rank(call.Service, call.Route, customer)
	call.Prompt.Rank, call.Prompt.Ranks = rank.Level, rank.Count
}

// customerName returns the name of a customer, or "" for the caller of a public route.
func customerName(c *lavconfig.Customer) string {
	if c == nil {
		return ""
	}
	return c.Name
}

// deadline returns when the response must be ready: the lesser of the route's
// and the caller's timeout after the arrival, less responseMargin.
func deadline(arrived time.Time, callerTimeout, routeTimeout time.Duration) time.Time {
	if routeTimeout <= 0 {
		routeTimeout = defaultTimeout
	}
	if callerTimeout > 0 {
		routeTimeout = min(routeTimeout, callerTimeout)
	}
	return arrived.Add(max(routeTimeout-responseMargin, 0))
}

// fingerprint returns a hash that is equal for repetitions of a request by the
// same caller.
func fingerprint(r *http.Request, request platform.Request, body []byte) uint64 {
	hash := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, request.Credential} {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}
