package lavnode

import (
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavorder"

	"github.com/thejerf/suture/v4"
)

// Settings of the planner.
const (
	// plannerRankKey is the name under which hosts are ranked by rendezvous
	// hashing to select the planner candidates. plannerCandidates is the number
	// of hosts that try to become the planner.
	plannerRankKey    = "planner"
	plannerCandidates = 3
	// maxWeightLoads is the maximum number of engines that load model weights at
	// the same time.
	maxWeightLoads = 4
)

// addOrders adds the planner, which issues orders to engines, and the executor of
// these orders to the supervisor tree.
func (c *control) addOrders(tree *suture.Supervisor) {
	n := c.node
	ownership := &sharing{node: n}
	tree.Add(serviceFunc{name: "planner", run: lavorder.NewPlanner(lavorder.PlannerConfig{
		Store:      c.store,
		Endpoints:  n.table,
		Releases:   n.releases,
		Holder:     n.members.Self().Incarnation,
		MaxLoading: maxWeightLoads,
		Candidate: func() bool {
			rank := lavmember.RendezvousRank(n.members.View(), plannerRankKey, n.members.Self().Incarnation)
			return rank >= 0 && rank < plannerCandidates
		},
	}).Serve})
	tree.Add(serviceFunc{name: "orders", run: lavorder.NewExecutor(lavorder.ExecutorConfig{
		Store:     c.store,
		Endpoints: n.table,
		Releases:  n.releases,
		Owns:      ownership.Owns,
		Engine:    n.engine,
		Scope:     n.deps.Scope,
	}).Serve})
}
