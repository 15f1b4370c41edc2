package lavfront

import (
	"net/http"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavresponse"
)

// heldResponse is the response that is held for a call until its caller has it. An attempt may end
// after the call, so that it is safe for concurrent use.
type heldResponse struct {
	mu       sync.Mutex
	body     *lavresponse.Body
	released bool
}

// replace holds the response to a further attempt in place of the one before. It may be nil.
func (h *heldResponse) replace(body *lavresponse.Body) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.body.Release()
	h.body = body
	if h.released {
		body.Release()
	}
}

// release ends the hold.
func (h *heldResponse) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	h.body.Release()
}

// callerBlockBytes is how much of a response a caller must accept within callerReadTimeout.
const callerBlockBytes = 64 << 10

// writeBody sends the body of a response to the caller, until he stops reading: it is held as long.
func writeBody(w http.ResponseWriter, body []byte) {
	controller := http.NewResponseController(w)
	for len(body) > 0 {
		// A response writer that doesn't support write deadlines, as in tests, doesn't block.
		_ = controller.SetWriteDeadline(time.Now().Add(callerReadTimeout))
		n, err := w.Write(body[:min(callerBlockBytes, len(body))])
		if err != nil {
			// The server closes the connection, so that the caller sees that the response is cut.
			return
		}
		body = body[n:]
	}
}
