package lavroute_test

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// The policy picks the endpoint that has the prefix of the prompt cached,
// although both endpoints are idle.
func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	report := lavengine.LoadReport{Incarnation: "first", Models: []string{"caption"}, MemoryTokens: 400_000, PrefillRate: 16_000, Taken: now}
	snapshot := lavendpoint.NewSnapshot(1, []lavendpoint.Endpoint{
		{Name: "engine-0", Phase: lavendpoint.PhaseReady, Report: report},
		{Name: "engine-1", Phase: lavendpoint.PhaseReady, Report: report},
	})
	request := &lavrequest.Request{ID: "r", Model: "caption", PromptTokens: 9000, Prefixes: []lavrequest.PrefixHash{1, 2, 3}}
	caches := lavroute.NewCacheIndex()
	caches.Expect("engine-1", "first", request.Prefixes)

	table := lavroute.NewRoutingTable(now, snapshot, lavroute.Locality{}, lavroute.DefaultBacklogFractions())
	local := []lavroute.LocalLoad{{AvailableCredit: 400_000}, {AvailableCredit: 400_000}}
	i := lavroute.NewBalanced(caches).Pick(now, table, local, &lavroute.PlacementRequest{Request: request, Lane: request.Class()})
	fmt.Println(snapshot.Endpoints[i].Name)
	// Output: engine-1
}
