package lavfront

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes is the maximum size of the response body of a plain service.
const maxResponseBytes = 8 << 20

// serviceClient sends calls to the endpoints of plain services.
type serviceClient struct {
	endpoints interface{ Snapshot() *lavendpoint.Snapshot }
	// keepAliveClient reuses connections and is used for repeatable calls.
	// singleUseClient opens a new connection for every other call, so that a
	// failure to connect proves that nothing was sent.
	keepAliveClient *http.Client
	singleUseClient *http.Client
	// responses is what the responses that are held may take together.
	responses *lavresponse.Budget

	mu sync.Mutex
	// inFlight is the number of calls in progress by endpoint name.
	inFlight map[string]int
}

func newServiceClient(endpoints interface{ Snapshot() *lavendpoint.Snapshot }, client *http.Client) *serviceClient {
	// Redirects are not followed here but returned to the caller.
	noRedirects := *lavresponse.NewClient(client)
	responses := lavresponse.BudgetOf(&noRedirects)
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &serviceClient{
		endpoints:       endpoints,
		keepAliveClient: &noRedirects,
		singleUseClient: lavresponse.WithoutKeepAlives(&noRedirects),
		responses:       responses,
		inFlight:        make(map[string]int),
	}
}

// call sends the call once to one endpoint and also returns the endpoint's name. The
// error is marked with lavledger.ErrNotSent if nothing was sent.
func (s *serviceClient) call(ctx context.Context, c *serviceCall, avoid []string) (lavledger.Answer, string, error) {
	e, ok := s.pickEndpoint(c.service.Name, avoid)
	if !ok {
		return lavledger.Answer{}, "", noEndpointError(c.service.Name)
	}
	defer s.endCall(e.Name)
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout())
	defer cancel()
	address := e.Addr.String()
	if err := lavstep.Failpoint(ctx, lavstep.ServiceCall, address); err != nil {
		return lavledger.Answer{}, e.Name, errors.Mark(err, lavledger.ErrNotSent)
	}
	answer, connected, err := s.roundTrip(ctx, c, address)
	if err != nil && !connected {
		err = errors.Mark(err, lavledger.ErrNotSent)
	}
	return answer, e.Name, lavstep.Wrap(err, lavstep.ServiceCall, address)
}

// roundTrip sends the HTTP request and reads the response. It also reports whether a
// connection was obtained. Without a connection, no byte of the request was sent.
func (s *serviceClient) roundTrip(ctx context.Context, c *serviceCall, address string) (lavledger.Answer, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(ctx, address)
	if err != nil {
		return lavledger.Answer{}, false, err
	}
	client := s.singleUseClient
	if c.isRepeatable() {
		client = s.keepAliveClient
	}
	response, err := client.Do(request)
	if err != nil {
		return lavledger.Answer{}, connected.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	body, truncated, err := s.readBody(c, response)
	if err != nil {
		return lavledger.Answer{}, true, err
	}
	return lavledger.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Header:      c.callerHeader(response.Header),
		Body:        body,
		Truncated:   truncated,
	}, true, nil
}

// readBody reads the body of a response, which is held for the call. If memory is short, a repeatable
// call fails. Of the response to another one, which can't be asked for again, only the beginning is kept
// then, as for a repetition of the call.
func (s *serviceClient) readBody(c *serviceCall, response *http.Response) (body []byte, truncated bool, err error) {
	read, err := s.responses.ReadAll(response.Body, maxResponseBytes)
	c.held.replace(read)
	switch {
	case err == nil:
		return read.Bytes, false, nil
	case errors.Is(err, lavresponse.ErrOverBudget) && !c.isRepeatable():
		return read.Bytes, true, read.SkipRest(response.Body, maxResponseBytes)
	default:
		return nil, false, err
	}
}

// newRequest returns the HTTP request for a call. Its body can be read only once and
// it has no Idempotency-Key header, so that http.Transport does not resend a
// non-idempotent request by itself after a connection failure.
func (c *serviceCall) newRequest(ctx context.Context, address string) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.body))
	}
	request, err := http.NewRequestWithContext(ctx, c.method, c.targetURL(address), body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.body))
	request.Header = c.header.Clone()
	request.Header.Set("Lav-Customer", c.customer)
	if c.key != "" {
		request.Header.Set("Lav-Call", c.key)
	}
	return request, nil
}

// callerHeader selects the response headers that are passed to the caller. If
// Location is an absolute path at the service, it is prefixed with the path under
// which this host exposes the service.
func (c *serviceCall) callerHeader(from http.Header) http.Header {
	selected := selectHeaders(from, headersToCaller)
	if location := selected.Get("Location"); strings.HasPrefix(location, "/") && !strings.HasPrefix(location, "//") {
		selected.Set("Location", "/services/"+url.PathEscape(c.service.Name)+location)
	}
	return selected
}

// pickEndpoint selects the less loaded of two random endpoints of a service and
// counts the call as in flight there. It considers the endpoints in avoid only if no
// other endpoint accepts requests.
func (s *serviceClient) pickEndpoint(service string, avoid []string) (*lavendpoint.Endpoint, bool) {
	var preferred, avoided []*lavendpoint.Endpoint
	snapshot := s.endpoints.Snapshot()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		switch {
		case e.Service != service || !e.Phase.TakesWork():
		case slices.Contains(avoid, e.Name):
			avoided = append(avoided, e)
		default:
			preferred = append(preferred, e)
		}
	}
	if len(preferred) == 0 {
		preferred = avoided
	}
	if len(preferred) == 0 {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, other := preferred[rand.IntN(len(preferred))], preferred[rand.IntN(len(preferred))]
	if s.load(other) < s.load(chosen) {
		chosen = other
	}
	s.inFlight[chosen.Name]++
	return chosen, true
}

// load estimates the number of requests at an endpoint: those that the endpoint
// reports as running or waiting, and the calls from this host that are in flight,
// because the report may not include them yet. s.mu must be held.
func (s *serviceClient) load(e *lavendpoint.Endpoint) int {
	return e.Report.Running + e.Report.Waiting + s.inFlight[e.Name]
}

// endCall removes a finished call from the in-flight count of an endpoint.
func (s *serviceClient) endCall(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[name]--; s.inFlight[name] == 0 {
		delete(s.inFlight, name)
	}
}
