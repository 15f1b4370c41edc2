package lavnode

import (
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavorder"

	"github.com/thejerf/suture/v4"
)

// Bounds of planning.
const (
	// plannerName is what the hosts that try to become the planner are drawn
	// by, and plannerCandidates how many they are.
	plannerName       = "planner"
	plannerCandidates = 3
	// weightLoads is how many engines load weights at a time.
	weightLoads = 4
)

// addOrders adds the planner and the executor of orders to the tree.
func (c *control) addOrders(tree *suture.Supervisor) {
	n := c.node
	owner := &sharing{node: n}
	tree.Add(service{name: "planner", run: lavorder.NewPlanner(lavorder.PlannerConfig{
		Store:      c.store,
		Endpoints:  n.table,
		Releases:   n.releases,
		Holder:     n.members.Self().Incarnation,
		MaxLoading: weightLoads,
		Candidate: func() bool {
			rank := lavmember.RendezvousRank(n.members.View(), plannerName, n.members.Self().Incarnation)
			return rank >= 0 && rank < plannerCandidates
		},
	}).Serve})
	tree.Add(service{name: "orders", run: lavorder.NewExecutor(lavorder.ExecutorConfig{
		Store:     c.store,
		Endpoints: n.table,
		Releases:  n.releases,
		Owns:      owner.Owns,
		Engine:    n.engine,
		Scope:     n.edges.Scope,
	}).Serve})
}
