package lavnode

import (
	"context"

	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// errorBudget counts the good and bad requests of this host, from which the burn
// of the error budgets is computed, and sends the counts to the peers.
type errorBudget struct {
	*lavburn.Tracker
	service *lavburn.Service
}

func newErrorBudget(n *Node) *errorBudget {
	objectives := func() []lavrelease.Objective { return n.releases.State().Objectives }
	b := &errorBudget{Tracker: lavburn.New(n.members.Self().Incarnation, objectives)}
	b.service = lavburn.NewService(b.Tracker, n.mesh, n.peers)
	n.mesh.Handle(lavmesh.TopicBurn, b.service.Handle)
	return b
}

// Serve sends the counts to the peers until the context ends.
func (b *errorBudget) Serve(ctx context.Context) error { return b.service.Serve(ctx) }
