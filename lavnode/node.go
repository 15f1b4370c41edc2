package lavnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavroute"
	"lavenderrack.example/lavenderrack/lavsettings"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
)

// Dependencies are the node's connections to the outside, which tests replace.
type Dependencies struct {
	// Listen opens the listeners; net.Listen in production.
	Listen func(network, address string) (net.Listener, error)
	// Client reaches the platform, the peers and the endpoints. It must not
	// set a timeout.
	Client *http.Client
	Logger *log.Logger
	Scope  tally.Scope
	// Metrics, if set, shows what Scope has counted.
	Metrics http.Handler
	// Policy and Queue replace the usual ones in experiments.
	Policy lavroute.Policy
	Queue  *lavqueue.Queue
}

// Node is one entry host.
type Node struct {
	settings lavsettings.Settings
	edges    Dependencies
	store    lavstore.Store
	members  *lavmember.Registry
	releases *lavrelease.Follower
	mesh     *lavmesh.Mesh
	table    *lavendpoint.Table
	control  *control
	dispatch *lavdispatch.Dispatcher
	requests *requests
	burn     *burn
	calls    *calls
	front    *lavfront.Front
}

// New returns a node with those settings.
func New(settings lavsettings.Settings, edges Dependencies) *Node {
	n := &Node{settings: settings, edges: edges}
	n.control = newControl(n)
	hosts := lavendpoint.NewHTTPHostList(edges.Client, settings.HostList)
	n.table = lavendpoint.New(n.releases, hosts, n.engine)
	n.control.share()
	n.burn = newBurn(n)
	n.requests = newRequests(n)
	n.dispatch = n.requests.dispatch
	n.calls = newCalls(n, n.store)
	n.front = n.calls.front()
	return n
}

func (n *Node) engine(e *lavendpoint.Endpoint) lavengine.Engine {
	return lavengine.NewHTTP(n.edges.Client, "http://"+e.Addr.String())
}

// Run serves until the context ends, then drains: the host leaves the entry
// directory, finishes what it has, and gives its membership up.
func (n *Node) Run(ctx context.Context) error {
	entry, err := n.edges.Listen("tcp", n.settings.Entry.String())
	if err != nil {
		return err
	}
	mesh, err := n.edges.Listen("tcp", n.settings.Mesh.String())
	if err != nil {
		_ = entry.Close()
		return err
	}
	admin, err := n.edges.Listen("tcp", n.settings.Admin.String())
	if err != nil {
		_ = errors.CombineErrors(entry.Close(), mesh.Close())
		return err
	}
	secured, err := n.control.secure(mesh)
	if err != nil {
		_ = errors.CombineErrors(entry.Close(), errors.CombineErrors(mesh.Close(), admin.Close()))
		return err
	}
	meshMux := http.NewServeMux()
	meshMux.Handle(lavmesh.Path, n.mesh)
	front := newListener(ctx, "entry", entry, n.front)

	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := suture.New("lavenderrack", suture.Spec{EventHook: n.supervised})
	n.control.add(tree)
	tree.Add(n.table)
	n.requests.add(tree)
	n.calls.add(tree)
	tree.Add(n.burn)
	tree.Add(newListener(ctx, "mesh", secured, meshMux))
	tree.Add(newListener(ctx, "admin", admin, n.adminHandler()))
	tree.Add(service{name: "gauges", run: n.setGauges})
	ended := tree.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- front.serve() }()
	n.edges.Logger.Info().Str("Host", n.settings.Host).Str("Entry", n.settings.Entry.String()).Msg("serving")

	<-ctx.Done()
	n.drain(front)
	err = <-served
	stop()
	if treeErr := <-ended; !errors.Is(treeErr, context.Canceled) {
		err = errors.CombineErrors(err, treeErr)
	}
	n.edges.Logger.Info().Str("Host", n.settings.Host).Msg("stopped")
	return err
}

// supervised counts and logs what the supervisor does about its services.
func (n *Node) supervised(event suture.Event) {
	n.edges.Scope.Counter("supervisor_events").Inc(1)
	n.edges.Logger.Warn().Str("Host", n.settings.Host).Msg(event.String())
}

// drain lets callers go elsewhere and finishes the requests that run.
func (n *Node) drain(front *listener) {
	n.edges.Logger.Info().Str("Host", n.settings.Host).Msg("draining")
	began := time.Now()
	n.members.Leave()
	n.control.linger(time.Duration(n.settings.DrainTimeout))
	front.shutdown(time.Duration(n.settings.DrainTimeout) - time.Since(began))
	n.calls.flush()
	n.burn.service.PassOn()
}
