package lavplace_test

import (
	"fmt"

	"lavenderrack.example/lavenderrack/lavplace"
)

// A model that is loaded on one engine gets its second replica in another failure
// domain.
func Example() {
	p := &lavplace.Problem{
		Models: []lavplace.Model{{Name: "caption", Memory: 40, Replicas: 2}},
		Engines: []lavplace.Engine{
			{Name: "north-1", FailureDomain: "north", Memory: 100, Loaded: []int{0}},
			{Name: "north-2", FailureDomain: "north", Memory: 100},
			{Name: "south-1", FailureDomain: "south", Memory: 100},
		},
	}
	target := lavplace.Search(p, lavplace.Greedy(p), 100, 1)
	for e, models := range lavplace.NextStage(p, target, 1) {
		fmt.Println(p.Engines[e].Name, len(models))
	}
	// Output:
	// north-1 1
	// north-2 0
	// south-1 1
}
