package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// holdDelay is how long a long request waits before an endpoint is held for it.
// Other requests would otherwise keep taking the capacity that becomes free
// there, so that the long request would never fit.
const holdDelay = 500 * time.Millisecond

// hold sets one endpoint aside for one long request.
type hold struct {
	request  *lavrequest.Request
	endpoint string
}

// holds contains the current holds by model, at most one each.
type holds map[string]hold

// acquire holds the endpoint for the request unless the model already has a
// hold.
func (h holds) acquire(r *lavrequest.Request, endpoint string) {
	if _, taken := h[r.Model]; !taken {
		h[r.Model] = hold{request: r, endpoint: endpoint}
	}
}

// endpointOf returns the endpoint held for a request, or an empty string.
func (h holds) endpointOf(r *lavrequest.Request) string {
	if held := h[r.Model]; held.request == r {
		return held.endpoint
	}
	return ""
}

// release ends the hold of a request, if it has one.
func (h holds) release(r *lavrequest.Request) {
	if h[r.Model].request == r {
		delete(h, r.Model)
	}
}

// markHeld sets the Held flag of each endpoint, and drops the holds of
// endpoints that no longer accept work.
func (h holds) markHeld(table *lavroute.RoutingTable, local []lavroute.LocalLoad) {
	for i := range local {
		local[i].Held = false
	}
	for model, held := range h {
		i := table.Index(held.endpoint)
		if i < 0 || !table.Snapshot.Endpoints[i].Phase.TakesWork() {
			delete(h, model)
			continue
		}
		local[i].Held = true
	}
}
