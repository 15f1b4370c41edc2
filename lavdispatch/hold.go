package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// holdAfter is how long a long request waits before an endpoint is kept for
// it, so that room comes together there.
const holdAfter = 500 * time.Millisecond

// hold keeps one endpoint for one long request.
type hold struct {
	request  *lavrequest.Request
	endpoint string
}

// holds are the endpoints that are kept, one for each model.
type holds map[string]hold

// keep keeps the endpoint for the request, if the model has no hold yet.
func (h holds) keep(r *lavrequest.Request, endpoint string) {
	if _, taken := h[r.Model]; !taken {
		h[r.Model] = hold{request: r, endpoint: endpoint}
	}
}

// of returns the endpoint that is kept for a request, or "".
func (h holds) of(r *lavrequest.Request) string {
	if have := h[r.Model]; have.request == r {
		return have.endpoint
	}
	return ""
}

// free ends the hold of a request.
func (h holds) free(r *lavrequest.Request) {
	if h[r.Model].request == r {
		delete(h, r.Model)
	}
}

// lay marks the endpoints that are kept, and drops holds of endpoints that no
// longer take work.
func (h holds) lay(b *lavroute.RoutingTable, own []lavroute.LocalLoad) {
	for i := range own {
		own[i].Held = false
	}
	for model, have := range h {
		i := b.Index(have.endpoint)
		if i < 0 || !b.Snapshot.Endpoints[i].Phase.TakesWork() {
			delete(h, model)
			continue
		}
		own[i].Held = true
	}
}
