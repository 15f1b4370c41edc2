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

// routing is the component of a node that assigns requests to endpoints.
type routing struct {
	dispatch      *lavdispatch.Dispatcher
	pinnedClients *lavengine.PinnedClients
	cacheFeed     *lavroute.CacheFeed
	claims        *lavcredit.Claims
	credits       *lavcredit.Exchange
}

func newRouting(n *Node) *routing {
	cacheIndex := lavroute.NewCacheIndex()
	claims := lavcredit.NewClaims(n.store, n.members.Self().Incarnation)
	credits := lavcredit.NewExchange(lavcredit.Dependencies{
		Endpoints: n.table,
		Members:   n.members,
		Mesh:      n.mesh,
		Claims:    claims,
	})
	cacheFeed := lavroute.NewCacheFeed(lavroute.CacheFeedConfig{
		Index:     cacheIndex,
		Endpoints: n.table,
		Engine:    n.engine,
		Owns:      n.owns,
		Broadcast: func(update lavroute.CacheUpdate) { _, _ = n.mesh.Broadcast(lavmesh.TopicCache, update) },
	})
	n.mesh.Handle(lavmesh.TopicCache, func(_ context.Context, _ string, body []byte) (any, error) {
		var update lavroute.CacheUpdate
		err := lavmesh.Decode(body, &update)
		if err == nil {
			cacheFeed.Receive(update)
		}
		return nil, err
	})
	return &routing{
		pinnedClients: lavengine.NewPinnedClients(n.client),
		cacheFeed:     cacheFeed,
		claims:        claims,
		credits:       credits,
		dispatch: lavdispatch.New(lavdispatch.Config{
			Endpoints: n.table,
			Queue:     n.queue(),
			Policy:    n.policy(cacheIndex),
			Credits:   credits,
			Locality:  lavroute.Locality{FailureDomain: n.settings.FailureDomain, Preferred: (&endpointPreference{members: n.members}).preferred, ReusedTokens: cacheIndex.ReusedTokens},
			Hosts:     n.hostCount,
			Expect: func(a *lavdispatch.Assignment) {
				cacheIndex.Expect(a.Endpoint.Name, a.Credit.Incarnation, a.Request().Prefixes)
			},
			Scope: n.deps.Scope,
		}),
	}
}

// owns reports whether this host owns an endpoint.
func (n *Node) owns(endpoint string) bool {
	m, ok := lavmember.Owner(n.members.View(), endpoint)
	return ok && m.Incarnation == n.members.Self().Incarnation
}

// pinnedEngine returns an engine client that sends a prompt only if the engine still
// has the incarnation and the cold state of its last load report.
func (n *Node) pinnedEngine(e *lavendpoint.Endpoint) lavengine.Engine {
	return lavengine.NewPinnedEngine(n.routing.pinnedClients, e.Addr, lavengine.Pin{Incarnation: e.Report.Incarnation, Cold: e.Report.Cold})
}

// endpointPreference divides the endpoints of each failure domain among the entry
// hosts of the same failure domain. It is not safe for concurrent use: the dispatcher
// calls it while it holds its lock.
type endpointPreference struct {
	members *lavmember.Registry
	view    *lavmember.View
	// domainViews holds the members of each failure domain as a separate view.
	domainViews map[string]*lavmember.View
	// cached holds the results for the current view by endpoint name.
	cached map[string]bool
}

// preferred reports whether this host owns the endpoint among the hosts of the
// endpoint's failure domain, or among all hosts if that failure domain has none.
func (p *endpointPreference) preferred(e *lavendpoint.Endpoint) bool {
	if view := p.members.View(); view != p.view {
		p.view, p.cached = view, make(map[string]bool)
		p.domainViews = make(map[string]*lavmember.View)
		for _, m := range view.Members {
			if p.domainViews[m.FailureDomain] == nil {
				p.domainViews[m.FailureDomain] = &lavmember.View{}
			}
			p.domainViews[m.FailureDomain].Members = append(p.domainViews[m.FailureDomain].Members, m)
		}
	}
	preferred, ok := p.cached[e.Name]
	if !ok {
		candidates := p.domainViews[e.FailureDomain]
		if candidates == nil {
			candidates = p.view
		}
		owner, found := lavmember.Owner(candidates, e.Name)
		preferred = found && owner.Incarnation == p.members.Self().Incarnation
		p.cached[e.Name] = preferred
	}
	return preferred
}

// hostCount returns the number of entry hosts that share the endpoints.
func (n *Node) hostCount() int { return len(n.members.View().Members) }

// policy returns the policy of the dependencies, or the default policy.
func (n *Node) policy(cacheIndex *lavroute.CacheIndex) lavroute.Policy {
	if n.deps.Policy != nil {
		return n.deps.Policy
	}
	return lavroute.NewBalanced(cacheIndex)
}

// queue returns the queue of the dependencies, or a default queue.
func (n *Node) queue() *lavqueue.Queue {
	if n.deps.Queue != nil {
		return n.deps.Queue
	}
	return lavqueue.New()
}

// add adds the services of this component to the supervisor tree.
func (r *routing) add(tree *suture.Supervisor) {
	tree.Add(serviceFunc{name: "pins", run: func(ctx context.Context) error {
		<-ctx.Done()
		r.pinnedClients.Close()
		return ctx.Err()
	}})
	tree.Add(r.cacheFeed)
	tree.Add(r.claims)
	tree.Add(r.credits)
	tree.Add(r.dispatch)
}
