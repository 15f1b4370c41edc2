package lavnode

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavgang"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/thejerf/suture/v4"
)

// calls is the part of a node that runs requests once they have a place, and
// calls that may not be repeated.
type calls struct {
	node     *Node
	ledger   *lavledger.Ledger
	departed *departures
	suspects *lavretry.Suspects
	outbox   *outbox
	live     *lavstream.ActiveStreams
	relay    *lavstream.Relay
	gang     *lavgang.Runner
	sweeper  *lavgang.Sweeper
}

func newCalls(n *Node, store lavstore.Store) *calls {
	c := &calls{node: n, live: lavstream.NewActiveStreams(), outbox: newOutbox(n.mesh), departed: newDepartures(n.members)}
	c.ledger = lavledger.NewWithPeers(store, ledgerPeers{c})
	c.suspects = lavretry.NewSuspects(store, suspectPeers{c})
	c.relay = lavstream.NewRelay(lavstream.Dependencies{
		Dispatcher:    n.dispatch,
		Engine:        n.pinnedEngine,
		Confirm:       n.table.Confirm,
		Suspects:      c.suspects,
		ActiveStreams: c.live,
		Customers:     lavretry.NewBudget[string](),
		Endpoints:     lavretry.NewBudget[string](),
		Scope:         n.edges.Scope,
	})
	c.gang = lavgang.NewRunner(lavgang.Config{
		Endpoints: n.table,
		Engine:    n.engine,
		Confirm:   n.table.Confirm,
		Live:      c.live,
		Suspects:  c.suspects,
		Estimate:  n.dispatch.Estimate,
		Scope:     n.edges.Scope,
	})
	owns := func(endpoint string) bool { return n.owner(endpoint) == "" }
	c.sweeper = lavgang.NewSweeper(n.table, n.engine, owns, liveClaims{c}, n.edges.Scope)
	n.mesh.Handle(lavmesh.TopicLedger, c.hearLedger)
	n.mesh.Handle(lavmesh.TopicQuarantine, c.hearSuspect)
	n.mesh.Handle(lavmesh.TopicOwner, c.hearOwner)
	return c
}

// front returns the handler that callers reach.
func (c *calls) front() *lavfront.Front {
	n := c.node
	return lavfront.New(lavfront.Config{
		Releases:  n.releases,
		Members:   n.members,
		Endpoints: n.table,
		Relay:     c.relay,
		Gang:      c.gang,
		Signer:    c.signer,
		HandOver:  c.handOver,
		Ledger:    c.ledger,
		Client:    n.edges.Client,
		Scope:     n.edges.Scope,
		Self:      n.members.Self,
		Record:    n.burn.Record,
	})
}

// add puts the services of the part under a supervisor.
func (c *calls) add(tree *suture.Supervisor) {
	tree.Add(c.ledger)
	tree.Add(c.suspects)
	tree.Add(service{name: "hand suspects over", run: c.handSuspectsOver})
	tree.Add(c.outbox)
	tree.Add(c.departed)
	tree.Add(c.sweeper)
}

// flushTimeout bounds the wait for outcomes that are not written yet.
const flushTimeout = 5 * time.Second

// flush writes the outcomes of calls before the host stops.
func (c *calls) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := c.ledger.Close(ctx); err != nil {
		c.node.edges.Logger.Warn().Err(err).Msg("outcomes of calls were not written")
	}
}

// signer returns the signer of resume tokens. Without a key in the settings it
// is made from the credentials in the release, which no single customer knows.
func (c *calls) signer() *lavstream.Signer {
	if key := c.node.settings.TokenKey; key != "" {
		return lavstream.NewSigner([]byte(key))
	}
	var credentials []string
	for _, customer := range c.node.releases.State().Customers {
		credentials = append(credentials, customer.Credentials...)
	}
	slices.Sort(credentials)
	sum := sha256.New()
	for _, credential := range credentials {
		_, _ = sum.Write([]byte(credential))
	}
	return lavstream.NewSigner(sum.Sum(nil))
}
