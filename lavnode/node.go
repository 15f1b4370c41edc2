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
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/lavroute"
	"lavenderrack.example/lavenderrack/lavsettings"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
)

// Dependencies are the network access, the logger and the metrics of a node.
// Tests replace them.
type Dependencies struct {
	// Listen opens a listener. In production it is net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Client sends requests to the platform, the peers and the endpoints. It
	// must not set a timeout, which would also cut off long streams.
	Client *http.Client
	Logger *log.Logger
	Scope  tally.Scope
	// Metrics, if not nil, serves the metrics of Scope at /metrics.
	Metrics http.Handler
	// Policy and Queue, if not nil, replace the default routing policy and
	// queue. Experiments set them.
	Policy lavroute.Policy
	Queue  *lavqueue.Queue
}

// Node is the process of one entry host.
type Node struct {
	settings lavsettings.Settings
	deps     Dependencies
	// client is that of the dependencies with checked responses. Peers, which the mesh calls,
	// switch protocols.
	client      *http.Client
	store       lavstore.Store
	members     *lavmember.Registry
	releases    *lavrelease.Follower
	mesh        *lavmesh.Mesh
	table       *lavendpoint.Table
	control     *control
	dispatch    *lavdispatch.Dispatcher
	routing     *routing
	errorBudget *errorBudget
	calls       *calls
	front       *lavfront.Front
}

// New returns a node with the given settings. Run starts it.
func New(settings lavsettings.Settings, deps Dependencies) *Node {
	n := &Node{settings: settings, deps: deps, client: lavresponse.NewClient(deps.Client)}
	n.control = newControl(n)
	hosts := lavendpoint.NewHTTPHostList(n.client, settings.HostList)
	n.table = lavendpoint.New(n.releases, hosts, n.engine)
	n.control.enableSharing()
	n.errorBudget = newErrorBudget(n)
	n.routing = newRouting(n)
	n.dispatch = n.routing.dispatch
	n.calls = newCalls(n, n.store)
	n.front = n.calls.front()
	return n
}

func (n *Node) engine(e *lavendpoint.Endpoint) lavengine.Engine {
	return lavengine.NewHTTP(n.client, "http://"+e.Addr.String())
}

// Run serves requests until the context ends. Then it drains the host: the host
// is marked as leaving, so that the entry directory no longer lists it, finishes
// its running requests, and gives up its membership.
func (n *Node) Run(ctx context.Context) error {
	entry, err := n.deps.Listen("tcp", n.settings.Entry.String())
	if err != nil {
		return err
	}
	mesh, err := n.deps.Listen("tcp", n.settings.Mesh.String())
	if err != nil {
		_ = entry.Close()
		return err
	}
	admin, err := n.deps.Listen("tcp", n.settings.Admin.String())
	if err != nil {
		_ = errors.CombineErrors(entry.Close(), mesh.Close())
		return err
	}
	secured, err := n.control.enableTLS(mesh)
	if err != nil {
		_ = errors.CombineErrors(entry.Close(), errors.CombineErrors(mesh.Close(), admin.Close()))
		return err
	}
	meshMux := http.NewServeMux()
	meshMux.Handle(lavmesh.Path, n.mesh)
	front := newHTTPService(ctx, "entry", entry, n.front)

	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := suture.New("lavenderrack", suture.Spec{EventHook: n.logSupervisorEvent})
	n.control.add(tree)
	tree.Add(n.table)
	n.routing.add(tree)
	n.calls.add(tree)
	tree.Add(n.errorBudget)
	tree.Add(newHTTPService(ctx, "mesh", secured, meshMux))
	tree.Add(newHTTPService(ctx, "admin", admin, n.adminHandler()))
	tree.Add(serviceFunc{name: "gauges", run: n.setGauges})
	ended := tree.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- front.serve() }()
	n.deps.Logger.Info().Str("Host", n.settings.Host).Str("Entry", n.settings.Entry.String()).Msg("serving")

	<-ctx.Done()
	n.drain(front)
	err = <-served
	stop()
	if treeErr := <-ended; !errors.Is(treeErr, context.Canceled) {
		err = errors.CombineErrors(err, treeErr)
	}
	n.client.CloseIdleConnections()
	n.deps.Logger.Info().Str("Host", n.settings.Host).Msg("stopped")
	return err
}

// logSupervisorEvent counts and logs an event of the supervisor, for example the
// restart of a service.
func (n *Node) logSupervisorEvent(event suture.Event) {
	n.deps.Scope.Counter("supervisor_events").Inc(1)
	n.deps.Logger.Warn().Str("Host", n.settings.Host).Msg(event.String())
}

// drain marks the host as leaving, waits until callers use other entry hosts, and
// finishes the running requests within the drain timeout.
func (n *Node) drain(front *httpService) {
	n.deps.Logger.Info().Str("Host", n.settings.Host).Msg("draining")
	began := time.Now()
	n.members.Leave()
	n.control.awaitDirectoryExpiry(time.Duration(n.settings.DrainTimeout))
	front.shutdown(time.Duration(n.settings.DrainTimeout) - time.Since(began))
	n.calls.flush()
	n.errorBudget.service.Publish()
}
