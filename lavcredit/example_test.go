package lavcredit_test

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
)

// Two holders ask for an allowance at a cold endpoint with a limit of 16,000
// tokens. The owner has held its claim for so long that all earlier grants have
// expired.
func ExampleAllocator() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	status := lavcredit.EndpointStatus{Incarnation: "first", Limit: 16_000, Cold: true, Taken: now}
	claim := lavcredit.Claim{Fence: 7, Since: now.Add(-time.Minute), Until: now.Add(time.Minute)}
	allocator := lavcredit.NewAllocator()
	for _, holder := range []string{"entry-a", "entry-b"} {
		ask := lavcredit.Ask{Endpoint: "engine-0", Incarnation: "first", Want: 10_000}
		fmt.Println(holder, allocator.Grant(now, holder, ask, status, claim).Tokens)
	}
	// Output:
	// entry-a 10000
	// entry-b 6000
}
