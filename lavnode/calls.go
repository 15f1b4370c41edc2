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

// calls is the component of a node that executes requests: it relays the streams
// of prompts that the dispatcher has assigned to an endpoint, runs long prompts on
// gangs of endpoints, records calls that may not be repeated in the ledger, and refuses
// requests that have crashed endpoints.
type calls struct {
	node          *Node
	ledger        *lavledger.Ledger
	departures    *departureTracker
	suspects      *lavretry.Suspects
	outbox        *outbox
	activeStreams *lavstream.ActiveStreams
	cleanup       *lavstream.Cleanup
	relay         *lavstream.Relay
	gang          *lavgang.Runner
	sweeper       *lavgang.Sweeper
}

func newCalls(n *Node, store lavstore.Store) *calls {
	c := &calls{node: n, activeStreams: lavstream.NewActiveStreams(), cleanup: lavstream.NewCleanup(), outbox: newOutbox(n.mesh), departures: newDepartureTracker(n.members)}
	c.ledger = lavledger.NewWithPeers(store, ledgerPeers{c})
	c.suspects = lavretry.NewSuspects(store, suspectPeers{c})
	c.relay = lavstream.NewRelay(lavstream.Dependencies{
		Dispatcher:    n.dispatch,
		Engine:        n.pinnedEngine,
		Confirm:       n.table.Confirm,
		Suspects:      c.suspects,
		ActiveStreams: c.activeStreams,
		Cleanup:       c.cleanup,
		Customers:     lavretry.NewBudget[string](),
		Endpoints:     lavretry.NewBudget[string](),
		Scope:         n.deps.Scope,
	})
	c.gang = lavgang.NewRunner(lavgang.Config{
		Endpoints: n.table,
		Engine:    n.engine,
		Confirm:   n.table.Confirm,
		Live:      c.activeStreams,
		Cleanup:   c.cleanup,
		Suspects:  c.suspects,
		Estimate:  n.dispatch.Estimate,
		Scope:     n.deps.Scope,
	})
	owns := func(endpoint string) bool { return n.remoteOwner(endpoint) == "" }
	c.sweeper = lavgang.NewSweeper(n.table, n.engine, owns, activeStreamClaims{c}, n.deps.Scope)
	n.mesh.Handle(lavmesh.TopicLedger, c.handleLedger)
	n.mesh.Handle(lavmesh.TopicQuarantine, c.handleQuarantine)
	n.mesh.Handle(lavmesh.TopicOwner, c.handleOwner)
	return c
}

// front returns the handler of the entry address, which callers use.
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
		Client:    n.client,
		Scope:     n.deps.Scope,
		Self:      n.members.Self,
		Record:    n.errorBudget.Record,
	})
}

// add adds the services of this component to the supervisor tree.
func (c *calls) add(tree *suture.Supervisor) {
	tree.Add(c.ledger)
	tree.Add(c.suspects)
	tree.Add(serviceFunc{name: "hand over suspects", run: c.handOverSuspects})
	tree.Add(c.outbox)
	tree.Add(c.departures)
	tree.Add(c.sweeper)
}

// flushTimeout is the maximum time that flush waits for the store and the engines.
const flushTimeout = 5 * time.Second

// flush writes the remaining call outcomes to the store, and waits until engines
// have been asked to free the memory of ended requests, before the host stops.
func (c *calls) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := c.ledger.Close(ctx); err != nil {
		c.node.deps.Logger.Warn().Err(err).Msg("call outcomes were not written before shutdown")
	}
	c.cleanup.Wait(ctx)
}

// signer returns the signer of resume tokens. If the settings contain no key, the
// key is a hash of all credentials in the release. All hosts with the same release
// compute the same key, and no customer can compute it, because a customer knows only
// its own credentials.
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
