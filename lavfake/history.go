package lavfake

import (
	"sync"
	"time"
)

// StartedRequest records a request that a fake began to process.
type StartedRequest struct {
	// Name is the request ID at an engine. At an order server it is the body of
	// an order, and empty for a lookup.
	Name string
	At   time.Time
}

// History is a log of the requests that a fake began to process, in order.
type History struct {
	mu      sync.Mutex
	started []StartedRequest
}

func (h *History) record(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = append(h.started, StartedRequest{Name: name, At: time.Now()})
}

// Started returns all requests recorded so far.
func (h *History) Started() []StartedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started[:len(h.started):len(h.started)]
}
