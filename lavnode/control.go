package lavnode

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	mathrand "math/rand/v2"
	"net"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/thejerf/suture/v4"
)

// Intervals and timeouts of the control component.
const (
	gossipInterval = time.Second
	gossipTimeout  = 2 * time.Second
	// watcherStagger is the additional delay per watcher rank before a watcher
	// broadcasts a change of the view. A watcher that has received the change
	// from another one by then doesn't broadcast it.
	watcherStagger = 50 * time.Millisecond
	// leavePropagationTime is the maximum time until every host knows that a host
	// is leaving.
	leavePropagationTime = 2 * time.Second
)

// controlShare is the fraction of the store's request budget that is reserved for
// releases, membership and orders. The ledger, the quarantine and the credit
// claims use the rest.
const controlShare = 0.4

// control is the component of a node that keeps its releases and members in sync
// with the store and the peers.
type control struct {
	node *Node
	// store is limited to controlShare of the store's request budget.
	store lavstore.Store
	// pullNow starts a gossip round before the next tick when a peer has
	// announced a newer release.
	pullNow chan struct{}
}

// newControl creates the node's store, member registry, release follower and mesh.
func newControl(n *Node) *control {
	c := &control{node: n, pullNow: make(chan struct{}, 1)}
	hostCount := func() int {
		if n.members == nil {
			return 1
		}
		return len(n.members.View().Members)
	}
	guard := lavstore.NewGuard(lavstore.NewHTTP(n.client, n.settings.Stores...), lavstore.DefaultLimits(), hostCount, n.deps.Scope)
	n.store = guard.WithShare(1 - controlShare)
	controlStore := guard.WithShare(controlShare)
	c.store = controlStore
	n.members = lavmember.New(controlStore, newMember(n.settings))
	n.releases = lavrelease.NewFollower(controlStore)
	n.mesh = lavmesh.New(n.members, n.deps.Client)
	n.mesh.SetMetricsScope(n.deps.Scope)
	n.mesh.Handle(lavmesh.TopicRelease, c.handleRelease)
	n.mesh.Handle(lavmesh.TopicReleasePull, c.handleReleasePull)
	n.mesh.Handle(lavmesh.TopicMember, c.handleMemberDelta)
	n.mesh.Handle(lavmesh.TopicView, c.handleViewRequest)
	return c
}

// enableSharing divides the polling of endpoints among the hosts.
func (c *control) enableSharing() {
	c.node.table.SetSharing(&sharing{node: c.node})
	c.node.mesh.Handle(lavmesh.TopicLoad, c.handleLoad)
}

func (c *control) handleLoad(_ context.Context, _ string, body []byte) (any, error) {
	var b lavendpoint.UpdateBatch
	if err := lavmesh.Decode(body, &b); err != nil {
		return nil, err
	}
	c.node.table.ApplyBatch(b, time.Now())
	return nil, nil
}

func newMember(s lavsettings.Settings) lavmember.Member {
	return lavmember.Member{
		Incarnation:   s.Host + "-" + rand.Text(),
		Host:          s.Host,
		FailureDomain: s.FailureDomain,
		Entry:         s.Entry,
		Mesh:          s.Mesh,
	}
}

func (c *control) add(tree *suture.Supervisor) {
	tree.Add(c.node.members)
	tree.Add(c.node.releases)
	tree.Add(c.node.mesh)
	tree.Add(serviceFunc{name: "broadcast releases", run: c.broadcastReleases})
	tree.Add(serviceFunc{name: "broadcast members", run: c.broadcastMembers})
	tree.Add(serviceFunc{name: "gossip", run: c.gossip})
	c.addOrders(tree)
}

// enableTLS makes the mesh use TLS with the keys of the settings, and returns the
// listener wrapped in TLS. Without keys in the settings it returns the listener
// unchanged.
func (c *control) enableTLS(mesh net.Listener) (net.Listener, error) {
	files := c.node.settings.Keys
	if files.Cert == "" {
		return mesh, nil
	}
	keys, err := lavmesh.NewKeys(files.Cert, files.Key, files.CA)
	if err != nil {
		return nil, err
	}
	c.node.mesh.UseTLS(keys)
	return tls.NewListener(mesh, keys.ServerConfig()), nil
}

// broadcastReleases announces each release that comes into force on this host to
// all peers.
func (c *control) broadcastReleases(ctx context.Context) error {
	n := c.node
	for {
		changed := n.releases.Changed()
		if state := n.releases.State(); state.Version > 0 {
			// A peer that misses this message gets the release by gossip or from
			// the store.
			_, _ = n.mesh.Broadcast(lavmesh.TopicRelease, n.releases.Announcement())
			n.deps.Scope.Gauge("release").Update(float64(state.Version))
			n.deps.Logger.Info().Uint64("Version", uint64(state.Version)).Msg("release in force")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// handleRelease handles a peer's announcement of a release.
func (c *control) handleRelease(ctx context.Context, _ string, body []byte) (any, error) {
	var a lavrelease.Announcement
	if err := lavmesh.Decode(body, &a); err != nil {
		return nil, err
	}
	if c.node.releases.HandleAnnouncement(ctx, a) {
		select {
		case c.pullNow <- struct{}{}:
		default:
		}
	}
	return nil, nil
}

// handleReleasePull answers a peer that pulls a release from this host.
func (c *control) handleReleasePull(_ context.Context, _ string, body []byte) (any, error) {
	var p lavrelease.PullRequest
	if err := lavmesh.Decode(body, &p); err != nil {
		return nil, err
	}
	return c.node.releases.AnswerPull(p), nil
}

// gossip pulls from a random neighbour once per gossipInterval, and whenever a peer
// has announced a newer release.
func (c *control) gossip(ctx context.Context) error {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.pullNow:
		case <-tick.C:
		}
		peers := c.node.mesh.ConnectedPeers()
		if len(peers) > 0 {
			c.pullFrom(ctx, peers[mathrand.N(len(peers))])
		}
	}
}

// pullFrom pulls a newer release from the peer, if it has one. If the store has
// stopped answering, it also merges the peer's members into this host's view.
func (c *control) pullFrom(ctx context.Context, peer string) {
	n := c.node
	// The error is ignored, because the next gossip round retries, usually
	// with another peer.
	_ = n.releases.Pull(ctx, func(ctx context.Context, p lavrelease.PullRequest) (lavrelease.PullResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
		defer cancel()
		var response lavrelease.PullResponse
		err := n.mesh.Call(ctx, peer, lavmesh.TopicReleasePull, p, &response)
		return response, err
	})
	if !n.members.StoreSilent() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var members []lavmember.Member
	if n.mesh.Call(ctx, peer, lavmesh.TopicView, n.members.View().Digest(), &members) == nil {
		n.members.MergeMembers(members)
	}
}

// handleViewRequest sends this host's members to a peer that can't reach the store.
// The list is empty if the peer's view has the same digest.
func (c *control) handleViewRequest(_ context.Context, _ string, body []byte) (any, error) {
	var digest uint64
	if err := lavmesh.Decode(body, &digest); err != nil {
		return nil, err
	}
	view := c.node.members.View()
	if view.Digest() == digest {
		return []lavmember.Member{}, nil
	}
	return view.Members, nil
}

// broadcastMembers broadcasts changes of the view to the peers if this host is a
// watcher and no other watcher has broadcast them before.
func (c *control) broadcastMembers(ctx context.Context) error {
	n := c.node
	for {
		changed := n.members.Changed()
		if rank, watching := n.members.WatcherRank(); watching {
			_ = lavpause.For(ctx, time.Duration(rank)*watcherStagger)
		}
		for _, d := range n.members.TakePendingDeltas() {
			_, _ = n.mesh.Broadcast(lavmesh.TopicMember, d)
		}
		n.deps.Scope.Gauge("members").Update(float64(len(n.members.View().Members)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (c *control) handleMemberDelta(_ context.Context, _ string, body []byte) (any, error) {
	var d lavmember.Delta
	if err := lavmesh.Decode(body, &d); err != nil {
		return nil, err
	}
	c.node.members.ApplyDelta(d)
	return nil, nil
}

// awaitDirectoryExpiry waits until the directory responses that list this host have
// expired, while the host continues to serve. It waits at most half of the drain
// timeout, so that the other half remains for the running requests.
func (c *control) awaitDirectoryExpiry(drain time.Duration) {
	_ = lavpause.For(context.Background(), min(lavfront.EntryValidity+leavePropagationTime, drain/2))
}
