package lavhost

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

const (
	// unreadyPause is when a caller should come back to a host that doesn't
	// know yet what holds.
	unreadyPause = 400 * time.Millisecond
	// defaultTimeout holds for routes that state none.
	defaultTimeout = 10 * time.Second
	// answerMargin is left of a caller's time for the way of an answer.
	answerMargin = 15 * time.Millisecond
	// writeSlack is how much longer than his time a caller may take to read.
	writeSlack = time.Second
)

// ingress takes callers' requests.
type ingress struct {
	knowledge *knowledge
	belief    *belief
	// current reports whether what the host knows is as new as can be.
	current func() bool
	relay   *lavrelay.Relay
	drain   *drain
	logger  *log.Logger
	running atomic.Int64
	// patiences tells callers who come back.
	patiences patiences
}

// ServeHTTP implements http.Handler.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	i.running.Add(1)
	defer i.running.Add(-1)
	if i.drain.begun() {
		platform.SetClose(w.Header())
	}
	said := platform.DecodeRequest(r.Header)
	if err := i.belief.Await(r.Context()); err != nil {
		i.refuse(w, said, http.StatusServiceUnavailable, "host doesn't know yet what holds")
		return
	}
	index := i.knowledge.Index()
	if index == nil {
		i.refuse(w, said, http.StatusServiceUnavailable, "no desired state")
		return
	}
	route, customer, status, why := i.admit(index, r, said)
	if status != 0 {
		i.refuse(w, said, status, why)
		return
	}
	if i.drain.tooLate(route) {
		i.refuse(w, said, http.StatusServiceUnavailable, "host is leaving")
		return
	}
	body, status := i.read(w, r, index.Limits())
	if status != 0 {
		i.refuse(w, said, status, "body not read")
		return
	}
	c := newCall(r, said, route, customer, body, arrived, i.patiences.returned(route.Name, said.Patience))
	c.Version = index.Version()
	if err := http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(writeSlack)); err != nil {
		i.logger.Warn().Err(err).Msg("no bound on writing")
	}
	i.relay.Serve(r.Context(), w, c)
}

// admit finds the route and the customer of a request, or the status that it is
// refused with. A host whose knowledge may be old doesn't say that a route or
// credential is unknown.
func (i *ingress) admit(index *lavconfig.Index, r *http.Request, said platform.Request) (*lavconfig.Route, string, int, string) {
	unknown := func(status int, why string) (*lavconfig.Route, string, int, string) {
		if !i.current() {
			return nil, "", http.StatusServiceUnavailable, why + ", but this host may not know the newest"
		}
		return nil, "", status, why
	}
	route := index.Route(r.Host, r.URL.Path)
	if route == nil {
		return unknown(http.StatusNotFound, "no such route")
	}
	if !index.RequiresCredentials() {
		return route, "", 0, ""
	}
	customer := index.Customer(said.Credential)
	switch {
	case customer != nil:
		return route, customer.Name, 0, ""
	case route.Public:
		return route, "", 0, ""
	default:
		return unknown(http.StatusUnauthorized, "no such credential")
	}
}

// read reads the body, bounded in size, or returns the status to refuse with.
func (i *ingress) read(w http.ResponseWriter, r *http.Request, limits lavconfig.Limits) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
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

// refuse answers a request that goes no further.
func (i *ingress) refuse(w http.ResponseWriter, said platform.Request, status int, why string) {
	i.logger.Warn().Str("Request", said.ID).Int("Status", status).Str("Why", why).Msg("request refused")
	pause := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		pause = unreadyPause
	}
	platform.SetRefusal(w.Header(), said.ID, pause)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why+"\n")
}

func newCall(r *http.Request, said platform.Request, route *lavconfig.Route, customer string, body []byte, arrived time.Time, returned bool) *lavrelay.Call {
	return &lavrelay.Call{
		ID:       said.ID,
		Method:   r.Method,
		Target:   r.RequestURI,
		HostName: r.Host,
		Header:   r.Header,
		Body:     body,
		Route:    route,
		Service:  route.PickService(rand.Float64()),
		Customer: customer,
		Prompt: lavplan.Prompt{
			Tokens:    said.PromptTokens,
			Answer:    said.AnswerTokens,
			Objective: route.Objective,
			Pause:     route.PauseObjective,
			Returned:  returned,
		},
		LastEvent:   said.LastEvent,
		Deadline:    deadline(arrived, said.Patience, route.Timeout),
		Arrived:     arrived,
		Fingerprint: fingerprint(r, said, body),
	}
}

// deadline returns when a caller must have his answer.
func deadline(arrived time.Time, patience, timeout time.Duration) time.Time {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if patience > 0 {
		timeout = min(timeout, patience)
	}
	return arrived.Add(max(timeout-answerMargin, 0))
}

// fingerprint is the same for the same request of the same caller.
func fingerprint(r *http.Request, said platform.Request, body []byte) uint64 {
	d := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, said.Credential} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
