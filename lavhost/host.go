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

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/lavshare"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
)

// maxIdlePerEndpoint bounds the idle connections to one endpoint.
const maxIdlePerEndpoint = 8

// Store is the part of the platform's store that a host uses.
type Store interface {
	HandoverStore
	BlockStore
}

// Dependencies are the external resources that a Host uses.
type Dependencies struct {
	// Listen opens a TCP listener.
	Listen func(netip.AddrPort) (net.Listener, error)
	// Datagrams is the socket on which the host sends and receives datagrams.
	Datagrams net.PacketConn
	// Dial opens connections to endpoints.
	Dial lavconn.Dialer
	// PeerClient is the HTTP client for links to peers.
	PeerClient   *http.Client
	Store        Store
	SuspendClock SuspendClock
	Logger       *log.Logger
	Scope        tally.Scope
	// LoadSettings reads the settings again, both periodically and on a
	// ReloadSignal.
	LoadSettings func() (platform.Settings, error)
	ReloadSignal <-chan os.Signal
	// MetricsHandler serves the metrics on port MetricsPort. Port 0 disables
	// it.
	MetricsHandler http.Handler
	MetricsPort    uint16
	// Build names the code that the program was built from.
	Build string
}

// Host is one entry host.
type Host struct {
	settings     platform.Settings
	deps         Dependencies
	confirmation *confirmation
	state        *clusterState
	follower     *storeFollower
	peers        *peers
	socket       *lavdatagram.Socket
	loadExchange *loadExchange
	permits      *permitExchange
	schedule     *scheduleClient
	mesh         *lavmesh.Mesh
	pool         *lavconn.Pool
	fleet        *lavfleet.Fleet
	crashes      *crashTracker
	ingress      *ingress
	directory    *directory
	drain        *drain
	// callers serves the requests of callers. listen sets it.
	callers *httpService
}

// New returns a host with the given settings and dependencies. Serve runs it.
func New(settings platform.Settings, deps Dependencies) *Host {
	h := &Host{settings: settings, deps: deps, confirmation: newConfirmation(deps.SuspendClock), drain: newDrain(settings.Bounds.Grace)}
	h.fleet = lavfleet.New(fleetBounds(settings.Bounds))
	h.state = newClusterState(lavmirror.New(), h.fleet, deps.Logger)
	dial := deps.Dial
	if settings.Policies.Pressure {
		dial = boundReceiveBuffers(dial)
	}
	h.pool = lavconn.New(dial, maxIdlePerEndpoint)
	h.initPeers()
	h.initIngress()
	h.directory = newDirectory(h.peers, boundedDirectoryTTL(settings.Bounds.MaxDirectoryTTL))
	return h
}

func (h *Host) initPeers() {
	settings := h.settings
	self := lavmember.Member{
		Incarnation:   fmt.Sprintf("%s-%x", settings.Host, rand.Uint64()),
		Host:          settings.Host,
		FailureDomain: settings.FailureDomain,
		Entry:         netip.AddrPortFrom(settings.Address, settings.Callers.Port()),
		Mesh:          netip.AddrPortFrom(settings.Address, settings.Peers.Port()),
		Datagrams:     settings.Datagrams,
	}
	h.peers = &peers{
		fleet:         h.fleet,
		state:         h.state,
		confirmation:  h.confirmation,
		logger:        h.deps.Logger,
		seeds:         settings.Seeds,
		selfChanged:   make(chan struct{}, 1),
		announced:     make(chan struct{}, 1),
		self:          self,
		byIncarnation: make(map[string]*peer),
		view:          &lavmember.View{Members: []lavmember.Member{self}},
		reachedHosts:  1,
		roster:        lavshare.New(settings.Host, shareTerms(fleetBounds(settings.Bounds))),
	}
	h.fleet.SetRetryHosts(1, false)
	h.mesh = lavmesh.New(h.peers, h.deps.PeerClient)
	h.mesh.SetTiming(meshTimings)
	h.mesh.SetMetricsScope(h.deps.Scope)
	h.peers.mesh = h.mesh
	h.follower = &storeFollower{
		source:           h.deps.Store,
		state:            h.state,
		confirmation:     h.confirmation,
		logger:           h.deps.Logger,
		broadcast:        h.peers.broadcastUpdate,
		reliesOnWatchers: h.peers.reliesOnWatchers,

		peerSettledAt:   h.peers.settledAt,
		recordList:      h.peers.recordList,
		needsList:       h.peers.needsList,
		announceContact: h.peers.announceContact,
	}
	h.peers.follower = h.follower
	h.socket = lavdatagram.New(h.deps.Datagrams, h.deps.Scope)
	h.loadExchange = newLoadExchange(h.socket, h.fleet, h.peers, h.deps.Logger)
	h.permits = newPermitExchange(h.socket, h.fleet, h.peers, h.deps.Logger, h.deps.Scope)
	h.schedule = newScheduleClient(h.socket, h.fleet, h.peers, h.deps.Logger, h.deps.Scope)
	h.loadExchange.grants = h.schedule
	h.mesh.Handle(lavmesh.TopicBeat, h.peers.handleHeartbeat)
	h.mesh.Handle(lavmesh.TopicSuspicion, h.peers.handleSuspicion)
	h.mesh.Handle(lavmesh.TopicNews, h.peers.handleUpdate)
	h.mesh.Handle(lavmesh.TopicEntries, h.peers.handleStateRequest)
	h.mesh.Handle(lavmesh.TopicLeaving, h.peers.handleLeaving)
	h.mesh.Handle(lavmesh.TopicLimit, h.peers.handleLimit)
	h.mesh.Handle(lavmesh.TopicStatements, h.peers.handleStatementsRequest)
}

func (h *Host) initIngress() {
	h.crashes = newCrashTracker(h.mesh, h.deps.Dial, h.deps.Logger, h.deps.Scope)
	h.mesh.Handle(lavmesh.TopicCrash, h.crashes.handleMessage)
	h.state.mergeBlock = h.crashes.mergeStored
	h.peers.crashes = h.crashes
	h.crashes.probes.store = h.deps.Store
	h.crashes.probes.view = h.peers.View
	h.crashes.probes.self = func() string { return h.peers.Self().Incarnation }
	h.crashes.isCurrent = func(life lavconfig.Incarnation) bool { return h.stateCurrent() && h.state.HasIncarnation(life) }
	relay := lavrelay.New(h.pool, h.fleet, h.confirmation, h.crashes, h.deps.Logger, h.deps.Scope, rand.Float64)
	relay.SetPeers(h.peers)
	relay.SetScheduler(h.schedule)
	relay.SetDeparture(h.drain)
	relay.LimitReservationLease(h.settings.Bounds.MaxReservationLease, h.settings.Bounds.MaxLeftoverReservation)
	h.ingress = &ingress{
		state:        h.state,
		confirmation: h.confirmation,
		stateCurrent: h.stateCurrent,
		relay:        relay,
		drain:        h.drain,
		logger:       h.deps.Logger,
		account:      h.newAccount(),
	}
}

// stateCurrent reports whether this host is in contact with the store, or has
// the same entries as a peer that is.
func (h *Host) stateCurrent() bool { return h.follower.inContact() || h.peers.hasSyncedPeer() }

// Serve runs the host until the context ends, then drains it and returns.
func (h *Host) Serve(ctx context.Context) error {
	h.deps.Logger.Info().Str("Host", h.settings.Host).Str("Incarnation", h.peers.Self().Incarnation).
		Str("Build", h.deps.Build).Str("Settings", settingsDigest(h.settings)).Msg("start")
	supervisor := suture.New("lavenderrack", suture.Spec{EventHook: h.logSupervisorEvent})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := h.listen(supervisor); err != nil {
		return err
	}
	supervisor.Add(h.follower)
	supervisor.Add(h.peers)
	supervisor.Add(h.socket)
	supervisor.Add(h.loadExchange)
	supervisor.Add(h.permits)
	supervisor.Add(h.schedule.own)
	supervisor.Add(aggregator{h.loadExchange})
	supervisor.Add(h.mesh)
	supervisor.Add(&membership{store: h.deps.Store, peers: h.peers, logger: h.deps.Logger})
	supervisor.Add(&blockPublisher{store: h.deps.Store, blocks: h.crashes, logger: h.deps.Logger})
	supervisor.Add(&reloader{
		loadSettings: h.deps.LoadSettings,
		signal:       h.deps.ReloadSignal,
		apply:        h.applySettings,
		logger:       h.deps.Logger,
		scope:        h.deps.Scope,
		inForce:      h.settings,
	})
	supervisor.Add(&connectionSweeper{pool: h.pool, state: h.state})
	supervisor.Add(&stateReport{host: h, scope: h.deps.Scope})
	ended := supervisor.ServeBackground(running)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return err
	}
	h.drainRequests(running)
	stop()
	err := <-ended
	h.deps.Logger.Info().Msg("stop")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drainRequests announces that the host is leaving and waits for running
// requests to end.
func (h *Host) drainRequests(ctx context.Context) {
	h.deps.Logger.Info().Int64("Running", h.ingress.running.Load()).Msg("drain")
	h.drain.start()
	h.peers.Leave()
	h.drain.wait(ctx, h.ingress)
	h.drain.end()
	h.closeCallers(ctx)
	h.ingress.relay.Wait()
	h.crashes.Wait()
	h.deps.Logger.Info().Int64("Running", h.ingress.running.Load()).Msg("drained")
}

// closeCallers closes the listener for callers, and waits for the last answers and for the requests
// that came between the end of the drain and that.
func (h *Host) closeCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(min(h.drain.remaining(), maxCloseWait), minCloseWait))
	defer cancel()
	h.callers.shutdown(ctx)
}

func (h *Host) logSupervisorEvent(e suture.Event) {
	h.deps.Logger.Warn().Str("Event", e.String()).Msg("supervisor")
}

// serveReadiness answers the platform's readiness check: whether the host may
// receive requests.
func (h *Host) serveReadiness(w http.ResponseWriter, r *http.Request) {
	_, confirmed := h.confirmation.check()
	if r.URL.Path != platform.PathReady || !confirmed || h.state.Index() == nil || h.drain.started() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// listen opens all listeners before any service runs, so that the process ends
// at once if a port is in use.
func (h *Host) listen(supervisor *suture.Supervisor) error {
	mesh := http.NewServeMux()
	mesh.Handle(lavmesh.Path, h.mesh)
	services := []struct {
		name    string
		at      netip.AddrPort
		handler http.Handler
	}{
		{"callers", h.settings.Callers, h.ingress},
		{"readiness", h.settings.Readiness, http.HandlerFunc(h.serveReadiness)},
		{"directory", h.settings.Directory, h.directory},
		{"peers", h.settings.Peers, mesh},
	}
	for _, service := range services {
		l, err := h.deps.Listen(service.at)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", service.name)
		}
		if service.at == h.settings.Callers && h.settings.Policies.Pressure {
			l = boundedListener{l}
		}
		served := newHTTPService(service.name, l, service.handler, h.deps.Logger)
		if service.at == h.settings.Callers {
			h.callers = served
		}
		supervisor.Add(served)
	}
	h.serveMetrics(supervisor)
	return nil
}

// serveMetrics adds the listener for metrics. A failure to listen is only
// logged, since the host works without metrics.
func (h *Host) serveMetrics(supervisor *suture.Supervisor) {
	if h.deps.MetricsPort == 0 {
		return
	}
	l, err := h.deps.Listen(netip.AddrPortFrom(h.settings.Address, h.deps.MetricsPort))
	if err != nil {
		h.deps.Logger.Error().Err(err).Msg("failed to listen for metrics")
		return
	}
	supervisor.Add(newHTTPService("metrics", l, h.deps.MetricsHandler, h.deps.Logger))
}

// sweepInterval is the time between two sweeps of idle connections.
const sweepInterval = time.Second

// connectionSweeper closes idle connections that have expired or that lead to
// an address without a known endpoint.
type connectionSweeper struct {
	pool  *lavconn.Pool
	state *clusterState
}

// Serve implements suture.Service.
func (s *connectionSweeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = lavpause.For(ctx, sweepInterval)
		s.pool.Sweep(s.state.HasEndpointAt)
	}
	return ctx.Err()
}
