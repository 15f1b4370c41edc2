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

// Times of control.
const (
	gossipEvery   = time.Second
	gossipTimeout = 2 * time.Second
	// tellPause is how much later each watcher tells a change of the view than
	// the one before it, so that mostly one of them does.
	tellPause = 50 * time.Millisecond
	// leaveMargin is the time in which every host hears that one leaves.
	leaveMargin = 2 * time.Second
)

// controlPart is the part of the store's budget that control may use; the rest
// is for requests.
const controlPart = 0.4

// control keeps releases and members in step with the store and the peers.
type control struct {
	node *Node
	// store is control's part of the store's budget.
	store lavstore.Store
	// behind wakes the gossip as a peer has a newer release.
	behind chan struct{}
}

// newControl makes the node's store, members, releases and mesh.
func newControl(n *Node) *control {
	c := &control{node: n, behind: make(chan struct{}, 1)}
	hosts := func() int {
		if n.members == nil {
			return 1
		}
		return len(n.members.View().Members)
	}
	guard := lavstore.NewGuard(lavstore.NewHTTP(n.edges.Client, n.settings.Stores...), lavstore.DefaultLimits(), hosts, n.edges.Scope)
	n.store = guard.WithShare(1 - controlPart)
	own := guard.WithShare(controlPart)
	c.store = own
	n.members = lavmember.New(own, memberOf(n.settings))
	n.releases = lavrelease.NewFollower(own)
	n.mesh = lavmesh.New(n.members, n.edges.Client)
	n.mesh.SetMetricsScope(n.edges.Scope)
	n.mesh.Handle(lavmesh.TopicRelease, c.hearRelease)
	n.mesh.Handle(lavmesh.TopicReleasePull, c.giveRelease)
	n.mesh.Handle(lavmesh.TopicMember, c.hearMembers)
	n.mesh.Handle(lavmesh.TopicView, c.giveView)
	return c
}

// share makes the table of endpoints divide its polls among the hosts.
func (c *control) share() {
	c.node.table.SetSharing(&sharing{node: c.node})
	c.node.mesh.Handle(lavmesh.TopicLoad, c.hearLoad)
}

func (c *control) hearLoad(_ context.Context, _ string, body []byte) (any, error) {
	var b lavendpoint.UpdateBatch
	if err := lavmesh.Decode(body, &b); err != nil {
		return nil, err
	}
	c.node.table.ApplyBatch(b, time.Now())
	return nil, nil
}

func memberOf(s lavsettings.Settings) lavmember.Member {
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
	tree.Add(service{name: "tell releases", run: c.tellReleases})
	tree.Add(service{name: "tell members", run: c.tellMembers})
	tree.Add(service{name: "gossip", run: c.gossip})
	c.addOrders(tree)
}

// secure makes the mesh use the keys of the settings, if there are any.
func (c *control) secure(mesh net.Listener) (net.Listener, error) {
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

// tellReleases tells the peers of each release that comes into force here.
func (c *control) tellReleases(ctx context.Context) error {
	n := c.node
	for {
		changed := n.releases.Changed()
		if state := n.releases.State(); state.Version > 0 {
			// What a peer misses here it gets by gossip or from the store.
			_, _ = n.mesh.Broadcast(lavmesh.TopicRelease, n.releases.Announcement())
			n.edges.Scope.Gauge("release").Update(float64(state.Version))
			n.edges.Logger.Info().Uint64("Version", uint64(state.Version)).Msg("release in force")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// hearRelease takes over what a peer announces.
func (c *control) hearRelease(ctx context.Context, _ string, body []byte) (any, error) {
	var a lavrelease.Announcement
	if err := lavmesh.Decode(body, &a); err != nil {
		return nil, err
	}
	if c.node.releases.HandleAnnouncement(ctx, a) {
		select {
		case c.behind <- struct{}{}:
		default:
		}
	}
	return nil, nil
}

// giveRelease answers a peer that lacks a release.
func (c *control) giveRelease(_ context.Context, _ string, body []byte) (any, error) {
	var p lavrelease.PullRequest
	if err := lavmesh.Decode(body, &p); err != nil {
		return nil, err
	}
	return c.node.releases.AnswerPull(p), nil
}

// gossip asks one neighbour after another whether it has a newer release, and
// its view while the store is silent.
func (c *control) gossip(ctx context.Context) error {
	tick := time.NewTicker(gossipEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.behind:
		case <-tick.C:
		}
		peers := c.node.mesh.ConnectedPeers()
		if len(peers) > 0 {
			c.ask(ctx, peers[mathrand.N(len(peers))])
		}
	}
}

func (c *control) ask(ctx context.Context, peer string) {
	n := c.node
	// A peer that doesn't answer is asked again, or another is.
	_ = n.releases.Pull(ctx, func(ctx context.Context, p lavrelease.PullRequest) (lavrelease.PullResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
		defer cancel()
		var part lavrelease.PullResponse
		err := n.mesh.Call(ctx, peer, lavmesh.TopicReleasePull, p, &part)
		return part, err
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

// giveView answers a peer that has no store to ask. A peer with the same view
// gets nothing.
func (c *control) giveView(_ context.Context, _ string, body []byte) (any, error) {
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

// tellMembers tells the peers of changes of the view, if this host is a
// watcher and no other was faster.
func (c *control) tellMembers(ctx context.Context) error {
	n := c.node
	for {
		changed := n.members.Changed()
		if rank, watching := n.members.WatcherRank(); watching {
			_ = lavpause.For(ctx, time.Duration(rank)*tellPause)
		}
		for _, d := range n.members.TakePendingDeltas() {
			_, _ = n.mesh.Broadcast(lavmesh.TopicMember, d)
		}
		n.edges.Scope.Gauge("members").Update(float64(len(n.members.View().Members)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (c *control) hearMembers(_ context.Context, _ string, body []byte) (any, error) {
	var d lavmember.Delta
	if err := lavmesh.Decode(body, &d); err != nil {
		return nil, err
	}
	c.node.members.ApplyDelta(d)
	return nil, nil
}

// linger serves on after the host has left the directory until the answers
// that name it have lapsed, but leaves half of the drain's time to the requests
// that run.
func (c *control) linger(drain time.Duration) {
	_ = lavpause.For(context.Background(), min(lavfront.EntryValidity+leaveMargin, drain/2))
}
