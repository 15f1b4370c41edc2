package lavroute_test

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

const memory = 400_000

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// endpoints returns n engines in three failure domains.
func endpoints(n int) []lavendpoint.Endpoint {
	all := make([]lavendpoint.Endpoint, n)
	for i := range all {
		all[i] = lavendpoint.Endpoint{
			Name:          fmt.Sprintf("engine-%d", i),
			FailureDomain: []string{"north", "east", "south"}[i%3],
			Phase:         lavendpoint.PhaseReady,
			Heard:         began,
			Report: lavengine.LoadReport{
				Incarnation: "a", Taken: began, MemoryTokens: memory, PrefillRate: 16_000, DecodeRate: 40,
				Models: []string{"caption"}, Adapters: []string{"till"}, ColdLimit: 16_000,
			},
		}
	}
	return all
}

// lay returns a board over endpoints with room everywhere.
func lay(all []lavendpoint.Endpoint) (*lavroute.Board, []lavroute.Own) {
	own := make([]lavroute.Own, len(all))
	for i := range own {
		own[i].Room = memory
	}
	return lavroute.NewRoutingTable(began, lavendpoint.NewSnapshot(1, all), lavroute.Locality{FailureDomain: "north"}, lavroute.DefaultBacklogFractions()), own
}

func ask(id string, prompt int, prefixes ...lavrequest.PrefixHash) *lavroute.Ask {
	r := &lavrequest.Request{
		ID: lavrequest.ID(id), Model: "caption", PromptTokens: prompt, MaxTokens: 32, Prefixes: prefixes,
		Arrived: began, Deadline: began.Add(20 * time.Second),
	}
	return &lavroute.Ask{Request: r, Lane: r.Class()}
}
