package lavroute

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// ModelCapacity is the combined capacity of the endpoints that serve one model.
type ModelCapacity struct {
	// Endpoints is the number of endpoints.
	Endpoints int
	// PrefillRate is the total prefill rate of the endpoints. DecodeRate is the
	// mean decode rate of one endpoint for one request. Both are in tokens per
	// second.
	PrefillRate float64
	DecodeRate  float64
	// MinWait is, by lane, the shortest time that a prompt waits at any
	// endpoint for earlier prefill work.
	MinWait [lavrequest.ClassCount]time.Duration
	// MaxMemoryTokens is the memory of the endpoint with the largest memory, in
	// tokens.
	MaxMemoryTokens int
}

// Capacity sums up the endpoints that accept work and have the model loaded.
func (t *RoutingTable) Capacity(now time.Time, local []LocalLoad, model string) ModelCapacity {
	var capacity ModelCapacity
	decodeRates := 0.0
	elapsed := max(now.Sub(t.createdAt).Seconds(), 0)
	for n, i := range t.candidatesFor(model).byBaseCost {
		state := &t.endpointStates[i]
		report := &t.Snapshot.Endpoints[i].Report
		capacity.PrefillRate += state.prefillRate
		decodeRates += report.DecodeRate
		capacity.MaxMemoryTokens = max(capacity.MaxMemoryTokens, report.MemoryTokens)
		pending := max(state.pendingTokens-state.prefillRate*elapsed, 0) + float64(local[i].PendingPrefillSinceReport)
		for lane := range capacity.MinWait {
			wait := time.Duration(t.backlogFractions[lane] * pending / state.prefillRate * float64(time.Second))
			if n == 0 || wait < capacity.MinWait[lane] {
				capacity.MinWait[lane] = wait
			}
		}
	}
	if capacity.Endpoints = len(t.candidatesFor(model).byBaseCost); capacity.Endpoints > 0 {
		capacity.DecodeRate = decodeRates / float64(capacity.Endpoints)
	}
	return capacity
}
