package lavnode

import (
	"context"

	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// burn counts this host's requests and passes the counts on.
type burn struct {
	*lavburn.Tracker
	service *lavburn.Service
}

func newBurn(n *Node) *burn {
	objectives := func() []lavrelease.Objective { return n.releases.State().Objectives }
	b := &burn{Tracker: lavburn.New(n.members.Self().Incarnation, objectives)}
	b.service = lavburn.NewService(b.Tracker, n.mesh, n.peers)
	n.mesh.Handle(lavmesh.TopicBurn, b.service.Handle)
	return b
}

// Serve passes the counts on until the context ends.
func (b *burn) Serve(ctx context.Context) error { return b.service.Serve(ctx) }
