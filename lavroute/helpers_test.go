package lavroute_test

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// memory is the memory of each endpoint, in tokens.
const memory = 400_000

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// endpoints returns n engines spread over three failure domains.
func endpoints(n int) []lavendpoint.Endpoint {
	all := make([]lavendpoint.Endpoint, n)
	for i := range all {
		all[i] = lavendpoint.Endpoint{
			Name:          fmt.Sprintf("engine-%d", i),
			FailureDomain: []string{"north", "east", "south"}[i%3],
			Phase:         lavendpoint.PhaseReady,
			Heard:         start,
			Report: lavengine.LoadReport{
				Incarnation: "a", Taken: start, MemoryTokens: memory, PrefillRate: 16_000, DecodeRate: 40,
				Models: []string{"caption"}, Adapters: []string{"till"}, ColdLimit: 16_000,
			},
		}
	}
	return all
}

// newTable returns a routing table for endpoints, and local loads with credit
// at every one.
func newTable(all []lavendpoint.Endpoint) (*lavroute.RoutingTable, []lavroute.LocalLoad) {
	local := make([]lavroute.LocalLoad, len(all))
	for i := range local {
		local[i].AvailableCredit = memory
	}
	return lavroute.NewRoutingTable(start, lavendpoint.NewSnapshot(1, all), lavroute.Locality{FailureDomain: "north"}, lavroute.DefaultBacklogFractions()), local
}

func newPlacement(id string, prompt int, prefixes ...lavrequest.PrefixHash) *lavroute.PlacementRequest {
	r := &lavrequest.Request{
		ID: lavrequest.ID(id), Model: "caption", PromptTokens: prompt, MaxTokens: 32, Prefixes: prefixes,
		Arrived: start, Deadline: start.Add(20 * time.Second),
	}
	return &lavroute.PlacementRequest{Request: r, Lane: r.Class()}
}
