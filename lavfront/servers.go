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
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 8 << 20

// errTooLong means that a service's answer can't be delivered whole.
var errTooLong = errors.New("the service's answer is too long")

// servers calls the endpoints of plain services.
type servers struct {
	endpoints interface{ Snapshot() *lavendpoint.Snapshot }
	// client keeps connections for idempotent calls; fresh opens one for each
	// other call, so that a failure to connect proves that nothing was sent.
	client *http.Client
	fresh  *http.Client

	mu     sync.Mutex
	flight map[string]int
}

func newServers(endpoints interface{ Snapshot() *lavendpoint.Snapshot }, client *http.Client) *servers {
	// Redirects are the caller's to follow.
	kept := *client
	kept.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &servers{endpoints: endpoints, client: &kept, fresh: withoutKeepAlive(&kept), flight: make(map[string]int)}
}

// withoutKeepAlive returns a client that uses each connection once.
func withoutKeepAlive(client *http.Client) *http.Client {
	fresh := *client
	transport, ok := client.Transport.(*http.Transport)
	if client.Transport == nil {
		transport, ok = http.DefaultTransport.(*http.Transport)
	}
	if ok {
		transport = transport.Clone()
		transport.DisableKeepAlives = true
		fresh.Transport = transport
	}
	return &fresh
}

// call sends the call to one server, once, and returns the server's name.
func (s *servers) call(ctx context.Context, c *serviceCall, avoid []string) (lavledger.Answer, string, error) {
	e, ok := s.pick(c.service.Name, avoid)
	if !ok {
		return lavledger.Answer{}, "", noServer(c.service.Name)
	}
	defer s.end(e.Name)
	ctx, cancel := context.WithTimeout(ctx, c.tryTimeout())
	defer cancel()
	peer := e.Addr.String()
	if err := lavstep.Failpoint(ctx, lavstep.ServiceCall, peer); err != nil {
		return lavledger.Answer{}, e.Name, errors.Mark(err, lavledger.ErrNotSent)
	}
	answer, connected, err := s.exchange(ctx, c, peer)
	if err != nil && !connected {
		err = errors.Mark(err, lavledger.ErrNotSent)
	}
	return answer, e.Name, lavstep.Wrap(err, lavstep.ServiceCall, peer)
}

// exchange makes the HTTP exchange. It reports whether there was ever a
// connection; without one no byte has left.
func (s *servers) exchange(ctx context.Context, c *serviceCall, peer string) (lavledger.Answer, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, peer)
	if err != nil {
		return lavledger.Answer{}, false, err
	}
	client := s.fresh
	if c.repeatable() {
		client = s.client
	}
	reply, err := client.Do(request)
	if err != nil {
		return lavledger.Answer{}, connected.Load(), err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLong
	}
	return lavledger.Answer{
		Status:      reply.StatusCode,
		ContentType: reply.Header.Get("Content-Type"),
		Header:      c.answerHeader(reply.Header),
		Body:        body,
	}, true, err
}

// request makes the request of a call. Its body can't be read twice and it has
// no Idempotency-Key, so that no transport replays it.
func (c *serviceCall) request(ctx context.Context, peer string) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.body))
	}
	request, err := http.NewRequestWithContext(ctx, c.method, c.target(peer), body)
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

// answerHeader returns the headers that the caller gets. A path that the service
// names is one below its own.
func (c *serviceCall) answerHeader(from http.Header) http.Header {
	kept := keep(from, headersToCaller)
	if location := kept.Get("Location"); strings.HasPrefix(location, "/") && !strings.HasPrefix(location, "//") {
		kept.Set("Location", "/services/"+url.PathEscape(c.service.Name)+location)
	}
	return kept
}

// pick takes the less loaded of two servers drawn at random, not one of avoid
// if there is another.
func (s *servers) pick(service string, avoid []string) (*lavendpoint.Endpoint, bool) {
	var open, rest []*lavendpoint.Endpoint
	snapshot := s.endpoints.Snapshot()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		switch {
		case e.Service != service || !e.Phase.TakesWork():
		case slices.Contains(avoid, e.Name):
			rest = append(rest, e)
		default:
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		open = rest
	}
	if len(open) == 0 {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best, other := open[rand.IntN(len(open))], open[rand.IntN(len(open))]
	if s.load(other) < s.load(best) {
		best = other
	}
	s.flight[best.Name]++
	return best, true
}

// load is the work at a server: what it reports, and what this host has begun
// there and the report may not show yet.
func (s *servers) load(e *lavendpoint.Endpoint) int {
	return e.Report.Running + e.Report.Waiting + s.flight[e.Name]
}

func (s *servers) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flight[name]--; s.flight[name] == 0 {
		delete(s.flight, name)
	}
}
