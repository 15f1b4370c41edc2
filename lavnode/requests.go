package lavnode

import (
	"context"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavroute"

	"github.com/thejerf/suture/v4"
)

// requests is the part of a node that brings requests to endpoints.
type requests struct {
	dispatch *lavdispatch.Dispatcher
	pins     *lavengine.PinnedClients
	feed     *lavroute.CacheFeed
	claims   *lavcredit.Claims
	credits  *lavcredit.Exchange
}

func newRequests(n *Node) *requests {
	caches := lavroute.NewCacheIndex()
	claims := lavcredit.NewClaims(n.store, n.members.Self().Incarnation)
	credits := lavcredit.NewExchange(lavcredit.Dependencies{
		Endpoints: n.table,
		Members:   n.members,
		Mesh:      n.mesh,
		Claims:    claims,
	})
	feed := lavroute.NewCacheFeed(lavroute.CacheFeedConfig{
		Index:     caches,
		Endpoints: n.table,
		Engine:    n.engine,
		Owns:      n.owns,
		Broadcast: func(news lavroute.CacheUpdate) { _, _ = n.mesh.Broadcast(lavmesh.TopicCache, news) },
	})
	n.mesh.Handle(lavmesh.TopicCache, func(_ context.Context, _ string, body []byte) (any, error) {
		var news lavroute.CacheUpdate
		err := lavmesh.Decode(body, &news)
		if err == nil {
			feed.Receive(news)
		}
		return nil, err
	})
	return &requests{
		pins:    lavengine.NewPinnedClients(n.edges.Client),
		feed:    feed,
		claims:  claims,
		credits: credits,
		dispatch: lavdispatch.New(lavdispatch.Config{
			Endpoints: n.table,
			Queue:     n.queue(),
			Policy:    n.policy(caches),
			Credits:   credits,
			Locality:  lavroute.Locality{FailureDomain: n.settings.FailureDomain, Preferred: (&nearness{members: n.members}).near, ReusedTokens: caches.ReusedTokens},
			Hosts:     n.hosts,
			Expect: func(a *lavdispatch.Assignment) {
				caches.Expect(a.Endpoint.Name, a.Credit.Incarnation, a.Request().Prefixes)
			},
			Scope: n.edges.Scope,
		}),
	}
}

// owns reports whether this host owns an endpoint.
func (n *Node) owns(endpoint string) bool {
	m, ok := lavmember.Owner(n.members.View(), endpoint)
	return ok && m.Incarnation == n.members.Self().Incarnation
}

// pinnedEngine returns an engine for prompts that are meant for it as its last
// load report shows it.
func (n *Node) pinnedEngine(e *lavendpoint.Endpoint) lavengine.Engine {
	return lavengine.NewPinnedEngine(n.requests.pins, e.Addr, lavengine.Pin{Incarnation: e.Report.Incarnation, Cold: e.Report.Cold})
}

// nearness divides the endpoints of each failure domain among its hosts. The
// dispatcher's lock guards it.
type nearness struct {
	members *lavmember.Registry
	view    *lavmember.View
	// local are the members of each failure domain.
	local map[string]*lavmember.View
	known map[string]bool
}

// near reports whether this host ranks first for the endpoint among the hosts
// of its failure domain, or among all if there are none.
func (d *nearness) near(e *lavendpoint.Endpoint) bool {
	if view := d.members.View(); view != d.view {
		d.view, d.known = view, make(map[string]bool)
		d.local = make(map[string]*lavmember.View)
		for _, m := range view.Members {
			if d.local[m.FailureDomain] == nil {
				d.local[m.FailureDomain] = &lavmember.View{}
			}
			d.local[m.FailureDomain].Members = append(d.local[m.FailureDomain].Members, m)
		}
	}
	near, ok := d.known[e.Name]
	if !ok {
		among := d.local[e.FailureDomain]
		if among == nil {
			among = d.view
		}
		first, found := lavmember.Owner(among, e.Name)
		near = found && first.Incarnation == d.members.Self().Incarnation
		d.known[e.Name] = near
	}
	return near
}

// hosts is the number of hosts that share the endpoints.
func (n *Node) hosts() int { return len(n.members.View().Members) }

// policy returns the policy of an experiment, or the usual one.
func (n *Node) policy(caches *lavroute.CacheIndex) lavroute.Policy {
	if n.edges.Policy != nil {
		return n.edges.Policy
	}
	return lavroute.NewBalanced(caches)
}

// queue returns the queue of an experiment, or the usual one.
func (n *Node) queue() *lavqueue.Queue {
	if n.edges.Queue != nil {
		return n.edges.Queue
	}
	return lavqueue.New()
}

// add puts the services of the part under a supervisor.
func (r *requests) add(tree *suture.Supervisor) {
	tree.Add(service{name: "pins", run: func(ctx context.Context) error {
		<-ctx.Done()
		r.pins.Close()
		return ctx.Err()
	}})
	tree.Add(r.feed)
	tree.Add(r.claims)
	tree.Add(r.credits)
	tree.Add(r.dispatch)
}
