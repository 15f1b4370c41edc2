package lavfake

import (
	"sync"
	"time"
)

// StartedRequest is one piece of work that began at a stand-in.
type StartedRequest struct {
	// Name is the request's ID at an engine and its key at a plain service.
	Name string
	At   time.Time
}

// History lists the work that began at a stand-in, in order.
type History struct {
	mu     sync.Mutex
	begins []StartedRequest
}

func (h *History) add(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begins = append(h.begins, StartedRequest{Name: name, At: time.Now()})
}

// Started returns all that began so far.
func (h *History) Started() []StartedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begins[:len(h.begins):len(h.begins)]
}
