package lavdemo

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// recordingTransport is the HTTP transport of the callers. It records the
// outcome of every attempt, including those that the client retries.
type recordingTransport struct {
	base *http.Transport
	// isStopping reports whether an entry host is in a planned restart.
	isStopping func(netip.AddrPort) bool

	mu sync.Mutex
	// orderAttempts and orderNotRun count, by idempotency key, how often an order
	// was sent and how often it was answered NotRun.
	orderAttempts map[string]int
	orderNotRun   map[string]int
	// ordersDone holds the idempotency keys of orders that were answered Done.
	ordersDone map[string]bool
	// promptsNotRun lists the request IDs of prompts that were answered NotRun.
	promptsNotRun []string
	// cutOff counts connections that broke because of a planned restart.
	cutOff int
}

func newRecordingTransport(isStopping func(netip.AddrPort) bool) *recordingTransport {
	return &recordingTransport{
		base:          &http.Transport{MaxIdleConnsPerHost: 256},
		isStopping:    isStopping,
		orderAttempts: make(map[string]int),
		orderNotRun:   make(map[string]int),
		ordersDone:    make(map[string]bool),
	}
}

// RoundTrip implements http.RoundTripper.
func (t *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	key := r.Header.Get(lavrequest.HeaderIdempotencyKey)
	if key != "" {
		t.update(func() { t.orderAttempts[key]++ })
	}
	host, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	answer, err := t.base.RoundTrip(r)
	if err != nil {
		if !isDialError(err) {
			t.recordCutOff(r.Context(), host)
		}
		return nil, err
	}
	t.recordNotRun(key, answer)
	answer.Body = &cutOffDetector{ReadCloser: answer.Body, onCutOff: func() { t.recordCutOff(r.Context(), host) }}
	return answer, nil
}

// isDialError reports whether the connection could not be opened, in which case
// no request was cut off.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// update changes the records under the lock.
func (t *recordingTransport) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// recordNotRun records an answer whose outcome is NotRun, by idempotency key for
// an order and by request ID for a prompt.
func (t *recordingTransport) recordNotRun(key string, answer *http.Response) {
	if answer.Header.Get(lavrequest.HeaderOutcome) != lavrequest.OutcomeNotRun.String() {
		return
	}
	id := answer.Header.Get(lavrequest.HeaderRequest)
	t.update(func() {
		switch {
		case key != "":
			t.orderNotRun[key]++
		case id != "":
			t.promptsNotRun = append(t.promptsNotRun, id)
		}
	})
}

// recordCutOff counts a connection that broke, if the host is in a planned
// restart and the caller has not cancelled the request.
func (t *recordingTransport) recordCutOff(ctx context.Context, host netip.AddrPort) {
	if ctx.Err() == nil && t.isStopping(host) {
		t.update(func() { t.cutOff++ })
	}
}

// cutOffDetector is a response body that calls onCutOff when reading fails before
// the end of the body.
type cutOffDetector struct {
	io.ReadCloser
	onCutOff func()
}

// Read implements io.Reader.
func (b *cutOffDetector) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		b.onCutOff()
	}
	return n, err
}
