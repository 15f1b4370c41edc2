package lavhost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
)

// idlePerEndpoint bounds the idle connections to one endpoint.
const idlePerEndpoint = 8

// Store is the platform's store, as far as a host needs it.
type Store interface {
	Source
	Leases
}

// Edges are what a host meets of the world around it.
type Edges struct {
	Listen func(netip.AddrPort) (net.Listener, error)
	// Datagrams is where the host's datagrams go in and out.
	Datagrams net.PacketConn
	Dial      lavconn.Dialer
	// Peers is the client that dials the peers.
	Peers  *http.Client
	Store  Store
	Clock  Clock
	Logger *log.Logger
	Scope  tally.Scope
	// Reload reads the settings anew, and Hangup asks for it.
	Reload func() (platform.Settings, error)
	Hangup <-chan os.Signal
	// Metrics answers with the counters at MetricsPort, 0 for nowhere.
	Metrics     http.Handler
	MetricsPort uint16
}

// Host is one entry host.
type Host struct {
	settings  platform.Settings
	edges     Edges
	belief    *belief
	knowledge *knowledge
	control   *control
	peers     *peers
	socket    *lavdatagram.Socket
	loads     *loads
	mesh      *lavmesh.Mesh
	pool      *lavconn.Pool
	fleet     *lavfleet.Fleet
	suspects  *suspects
	ingress   *ingress
	drain     *drain
}

// New returns a host that is to run by those settings.
func New(s platform.Settings, e Edges) *Host {
	h := &Host{settings: s, edges: e, belief: newBelief(e.Clock), drain: newDrain(s.Bounds.Grace)}
	h.fleet = lavfleet.New(fleetBounds(s.Bounds))
	h.knowledge = newKnowledge(lavmirror.New(), h.fleet, e.Logger)
	h.pool = lavconn.New(e.Dial, idlePerEndpoint)
	h.addPeers()
	h.addIngress()
	return h
}

func (h *Host) addPeers() {
	s := h.settings
	self := lavmember.Member{
		Incarnation:   fmt.Sprintf("%s-%x", s.Host, rand.Uint64()),
		Host:          s.Host,
		FailureDomain: s.FailureDomain,
		Entry:         netip.AddrPortFrom(s.Address, s.Callers.Port()),
		Mesh:          netip.AddrPortFrom(s.Address, s.Peers.Port()),
		Datagrams:     s.Datagrams,
	}
	h.peers = &peers{
		fleet:       h.fleet,
		knowledge:   h.knowledge,
		belief:      h.belief,
		logger:      h.edges.Logger,
		seeds:       s.Seeds,
		changedSelf: make(chan struct{}, 1),
		self:        self,
		all:         make(map[string]*peer),
		view:        &lavmember.View{Members: []lavmember.Member{self}},
	}
	h.mesh = lavmesh.New(h.peers, h.edges.Peers)
	h.mesh.SetTiming(meshPace)
	h.mesh.SetMetricsScope(h.edges.Scope)
	h.peers.mesh = h.mesh
	h.control = &control{
		source:    h.edges.Store,
		knowledge: h.knowledge,
		belief:    h.belief,
		logger:    h.edges.Logger,
		tell:      h.peers.tell,
		told:      h.peers.told,

		sureOfStore: h.peers.sureOfStore,
	}
	h.peers.control = h.control
	h.socket = lavdatagram.New(h.edges.Datagrams, h.edges.Scope)
	h.loads = newLoads(h.socket, h.fleet, h.peers, h.edges.Logger)
	h.mesh.Handle(lavmesh.TopicBeat, h.peers.hearBeat)
	h.mesh.Handle(lavmesh.TopicNews, h.peers.hearNews)
	h.mesh.Handle(lavmesh.TopicEntries, h.peers.giveEntries)
}

func (h *Host) addIngress() {
	h.suspects = &suspects{mesh: h.mesh, dial: h.edges.Dial, logger: h.edges.Logger, guard: lavretry.NewGuard()}
	h.mesh.Handle(lavmesh.TopicQuarantine, h.suspects.hear)
	relay := lavrelay.New(h.pool, h.fleet, h.belief, h.suspects, h.edges.Logger, h.edges.Scope, rand.Float64)
	relay.BoundHolds(h.settings.Bounds.LongestHold)
	h.ingress = &ingress{
		knowledge: h.knowledge,
		belief:    h.belief,
		current:   h.current,
		relay:     relay,
		drain:     h.drain,
		logger:    h.edges.Logger,
	}
}

// current reports whether this host hears the store, or a peer that does.
func (h *Host) current() bool { return h.control.fresh() || h.peers.informed() }

// Serve runs the host until the context ends, then drains it and returns.
func (h *Host) Serve(ctx context.Context) error {
	h.edges.Logger.Info().Str("Host", h.settings.Host).Str("Incarnation", h.peers.Self().Incarnation).Msg("start")
	tree := suture.New("lavenderrack", suture.Spec{EventHook: h.supervised})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := h.listen(tree); err != nil {
		return err
	}
	tree.Add(h.control)
	tree.Add(h.peers)
	tree.Add(h.socket)
	tree.Add(h.loads)
	tree.Add(keeper{h.loads})
	tree.Add(h.mesh)
	tree.Add(&membership{leases: h.edges.Store, peers: h.peers, logger: h.edges.Logger})
	tree.Add(&reloader{load: h.edges.Reload, hangup: h.edges.Hangup, apply: h.reload, logger: h.edges.Logger})
	tree.Add(&sweeper{pool: h.pool, knowledge: h.knowledge})
	ended := tree.ServeBackground(running)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return err
	}
	h.stop(running)
	stop()
	err := <-ended
	h.edges.Logger.Info().Msg("stop")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stop drains the host.
func (h *Host) stop(ctx context.Context) {
	h.edges.Logger.Info().Int64("Running", h.ingress.running.Load()).Msg("drain")
	h.drain.begin()
	h.peers.Leave()
	h.drain.wait(ctx, h.ingress)
	h.ingress.relay.Wait()
	h.suspects.Wait()
	h.edges.Logger.Info().Int64("Running", h.ingress.running.Load()).Msg("drained")
}

func (h *Host) supervised(e suture.Event) {
	h.edges.Logger.Warn().Str("Event", e.String()).Msg("supervisor")
}

// ready answers the platform's question whether the host may take requests.
func (h *Host) ready(w http.ResponseWriter, r *http.Request) {
	_, good := h.belief.check()
	if r.URL.Path != platform.PathReady || !good || h.knowledge.Index() == nil || h.drain.begun() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// listen opens all listeners before any part runs, so that a port that is taken
// ends the process at once.
func (h *Host) listen(tree *suture.Supervisor) error {
	mesh := http.NewServeMux()
	mesh.Handle(lavmesh.Path, h.mesh)
	faces := []struct {
		name    string
		at      netip.AddrPort
		handler http.Handler
	}{
		{"callers", h.settings.Callers, h.ingress},
		{"readiness", h.settings.Readiness, http.HandlerFunc(h.ready)},
		{"directory", h.settings.Directory, &directory{peers: h.peers, ttl: directoryValidity(h.settings.Bounds.DirectoryTTL)}},
		{"peers", h.settings.Peers, mesh},
	}
	for _, f := range faces {
		l, err := h.edges.Listen(f.at)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", f.name)
		}
		tree.Add(&face{name: f.name, listener: l, handler: f.handler, logger: h.edges.Logger})
	}
	h.listenForMetrics(tree)
	return nil
}

// listenForMetrics serves the counters. A host does its work without them.
func (h *Host) listenForMetrics(tree *suture.Supervisor) {
	if h.edges.MetricsPort == 0 {
		return
	}
	l, err := h.edges.Listen(netip.AddrPortFrom(h.settings.Address, h.edges.MetricsPort))
	if err != nil {
		h.edges.Logger.Error().Err(err).Msg("metrics are not served")
		return
	}
	tree.Add(&face{name: "metrics", listener: l, handler: h.edges.Metrics, logger: h.edges.Logger})
}

// sweepTime is the time between looks for connections that are of no more use.
const sweepTime = time.Second

// sweeper closes idle connections.
type sweeper struct {
	pool      *lavconn.Pool
	knowledge *knowledge
}

// Serve implements suture.Service.
func (s *sweeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = lavpause.For(ctx, sweepTime)
		s.pool.Sweep(s.knowledge.Serves)
	}
	return ctx.Err()
}
