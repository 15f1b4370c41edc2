package lavfleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpermit"
	"lavenderrack.example/lavenderrack/lavplan"
)

const (
	// peerLoadTTL is how long a report of the peers' load is used. Peers report
	// several times in this period.
	peerLoadTTL = 1500 * time.Millisecond
	// coldWindow is the period over which requests to an endpoint are counted: one
	// second and a margin for requests that arrive late.
	coldWindow = 1200 * time.Millisecond
)

// Bounds are the limits that all hosts together keep.
type Bounds struct {
	Retry BudgetBounds
	// ColdFactor and ColdSlack turn the rate that an endpoint declares for its cold
	// phase into the limit on requests per second: rate * ColdFactor + ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// Fleet holds the endpoints in service and their load. It is safe for concurrent use.
type Fleet struct {
	mu           sync.Mutex
	bounds       Bounds
	endpoints    map[lavconfig.Incarnation]*endpointState
	services     map[string]*service
	outOfService map[string]bool
	statements   map[lavconfig.Incarnation]statement
	// limits is the number of statements with a limit.
	limits int
	// peerReport is the load of all other hosts, received at peerReportAt.
	peerReport   Report
	peerReportAt time.Time
	// hosts is the number of hosts that may send requests, and index identifies this
	// host among them.
	hosts, index int
	burst        burstDivision
	// startedAt is when this host began to count.
	startedAt time.Time
	// takenOver is the retries that this host took over for each service at takenOverAt, which is zero
	// if it took over none.
	takenOver   map[string]int
	takenOverAt time.Time
	// retriesHandedOver is true once this host has handed its retries over.
	retriesHandedOver bool
	// changed signals changes that peers should learn of at once, and permitsNeeded that
	// requests lack permits.
	changed, permitsNeeded chan struct{}
}

// service holds a service and its endpoints, ordered by ID.
type service struct {
	lavconfig.Service
	endpoints []*endpointState
	budget    *budget
	// arrivals are the requests of the last demandWindow, and queue those that wait for an
	// endpoint.
	arrivals *window
	queue    *lavpermit.Queue
	// permitAskedAt is when this host last asked for permits for an endpoint of the service.
	permitAskedAt time.Time
	// answeredFrom is when the latest run began that an endpoint has answered.
	answeredFrom time.Time
	// pressedAt is when a request last found no endpoint for want of a share of what cold
	// endpoints accept.
	pressedAt time.Time
}

// endpointState is an endpoint with its load and health.
type endpointState struct {
	lavconfig.Endpoint
	// local is the load of this host without its prefill, which is in prefills.
	local    lavplan.Load
	prefills []*prefill
	// peerLoad is the load of all other hosts as of peerLoadAt.
	peerLoad   lavplan.Load
	peerLoadAt time.Time
	sent       window
	backoff    backoff
	slowdown   slowdown
	// stock is the permits for the endpoint, if it has stated a limit.
	stock lavpermit.Stock
	// share is how many requests per second this host may send to the endpoint without a permit,
	// unless it has lent that to lentTo until lentUntil, for a question of the number lentFor. sent
	// counts these requests, of which the last was sent at sentAt.
	share     int
	lentTo    string
	lentFor   uint64
	lentUntil time.Time
	sentAt    time.Time
	// pooled is the permits to send it more.
	pooled lavpermit.Stock
}

// Report is the state of the endpoints that a host reports to its peers.
type Report struct {
	// Loads is the load that the host has placed on each endpoint.
	Loads map[lavconfig.Incarnation]lavplan.Load
	// Slowdowns are the slowdown factors that endpoints recently reported to the host.
	Slowdowns map[lavconfig.Incarnation]float64
}

// New returns a fleet without endpoints.
func New(bounds Bounds) *Fleet {
	return &Fleet{
		bounds:       bounds,
		endpoints:    make(map[lavconfig.Incarnation]*endpointState),
		services:     make(map[string]*service),
		outOfService: make(map[string]bool),
		statements:   make(map[lavconfig.Incarnation]statement),
		hosts:        1,
		burst:        burstDivision{hosts: 1, mayUse: true},
		startedAt:    time.Now(),
		changed:      make(chan struct{}, 1),

		permitsNeeded: make(chan struct{}, 1),
	}
}

// Changed returns a channel that signals load changes that should be reported to peers
// without delay.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// notifyChange sends to the channel of Changed unless a signal is already pending.
func (f *Fleet) notifyChange() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Update replaces the services, the endpoints, and the failure domains that are out of
// service. Endpoints that remain keep their load and health.
func (f *Fleet) Update(services []lavconfig.Service, endpoints []lavconfig.Endpoint, outOfService []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateServices(services)
	f.outOfService = make(map[string]bool, len(outOfService))
	for _, domain := range outOfService {
		f.outOfService[domain] = true
	}
	next := make(map[lavconfig.Incarnation]*endpointState, len(endpoints))
	for _, e := range endpoints {
		s := f.endpoints[e.Incarnation()]
		if s == nil {
			s = &endpointState{sent: window{span: coldWindow}}
		}
		s.Endpoint = e
		next[e.Incarnation()] = s
		if svc := f.services[e.Service]; svc != nil {
			svc.endpoints = append(svc.endpoints, s)
		}
	}
	f.endpoints = next
	for _, svc := range f.services {
		slices.SortFunc(svc.endpoints, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
	}
	f.setShares()
	f.applyPeerLoads()
}

func (f *Fleet) updateServices(services []lavconfig.Service) {
	next := make(map[string]*service, len(services))
	for _, s := range services {
		svc := &service{budget: f.newBudget(s.Name), arrivals: &window{span: demandWindow}, queue: &lavpermit.Queue{}}
		if previous := f.services[s.Name]; previous != nil {
			*svc = *previous
		}
		svc.Service, svc.endpoints = s, nil
		next[s.Name] = svc
	}
	f.services = next
}

// SetBounds replaces the bounds.
func (f *Fleet) SetBounds(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds = b
	f.setShares()
}

// SetHosts sets the number of hosts that may send requests, including this one, and this
// host's index among them, counted from 0.
func (f *Fleet) SetHosts(n, index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = max(n, 1)
	if n != f.hosts || index != f.index {
		f.hosts, f.index = n, index
		f.setShares()
	}
}

// SetRetryHosts sets the number of hosts among which the burst of retry budgets is divided, and
// whether this host may use its part.
func (f *Fleet) SetRetryHosts(n int, mayUse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.burst = burstDivision{hosts: max(n, 1), mayUse: mayUse}
}

// RetryHosts returns the number of hosts among which the burst of retry budgets is divided.
func (f *Fleet) RetryHosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.burst.hosts
}

// RetryBurstWithheld reports whether this host may not use its part of the burst of retry budgets.
func (f *Fleet) RetryBurstWithheld() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.burst.mayUse
}

// SetPeerReport replaces the load of all other hosts.
func (f *Fleet) SetPeerReport(r Report) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerReport, f.peerReportAt = r, now
	for life, factor := range r.Slowdowns {
		if s := f.endpoints[life]; s != nil {
			s.slowdown.update(factor, now)
		}
	}
	f.applyPeerLoads()
}

// applyPeerLoads copies the load of all other hosts to the endpoints. The caller holds the
// lock.
func (f *Fleet) applyPeerLoads() {
	for life, s := range f.endpoints {
		s.peerLoad, s.peerLoadAt = f.peerReport.Loads[life], f.peerReportAt
	}
}

// expirePeerLoads drops the load of all other hosts if no report came within peerLoadTTL.
// The caller holds the lock.
func (f *Fleet) expirePeerLoads(now time.Time) {
	if len(f.peerReport.Loads) > 0 && now.Sub(f.peerReportAt) > peerLoadTTL {
		f.peerReport = Report{}
		f.applyPeerLoads()
	}
}

// LocalReport returns this host's report for its peers.
func (f *Fleet) LocalReport() Report {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Report{Loads: make(map[lavconfig.Incarnation]lavplan.Load), Slowdowns: make(map[lavconfig.Incarnation]float64)}
	for life, s := range f.endpoints {
		load := s.local
		load.Prefill = s.localPrefill(now)
		if !load.Zero() {
			r.Loads[life] = load
		}
		if s.slowdown.publishable(now) {
			r.Slowdowns[life] = s.slowdown.factor
		}
	}
	return r
}

// KnownEndpoints returns the endpoints that this host knows.
func (f *Fleet) KnownEndpoints() []lavconfig.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	lives := make([]lavconfig.Incarnation, 0, len(f.endpoints))
	for life := range f.endpoints {
		lives = append(lives, life)
	}
	return lives
}

// InService reports whether an endpoint may receive new requests.
func (f *Fleet) InService(life lavconfig.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	return s != nil && f.exclusion(s, time.Now()) == ReasonNone
}

// CountRequest counts a request to a service, which increases its retry budget.
func (f *Fleet) CountRequest(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[name]; svc != nil {
		now := time.Now()
		svc.budget.requests.add(now)
		svc.arrivals.count(now)
		svc.arrivals.add(now)
	}
}

// Engine returns the engine of a service, or nil if it is not a model engine or not known.
func (f *Fleet) Engine(service string) *lavconfig.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[service]; svc != nil {
		return svc.Engine
	}
	return nil
}

// SpendRetry takes one retry from a service's retry budget and returns the share from which it
// was taken, or false if that is exhausted.
func (f *Fleet) SpendRetry(name string) (RetryShare, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	svc := f.services[name]
	if svc == nil || f.retriesHandedOver {
		return RetryShare{}, false
	}
	share := svc.budget.spend(time.Now(), f.bounds.Retry, f.burst)
	return share, !share.Exhausted()
}

// RetryShare returns this host's share of a service's retry budget.
func (f *Fleet) RetryShare(name string) RetryShare {
	f.mu.Lock()
	defer f.mu.Unlock()
	svc := f.services[name]
	if svc == nil {
		return RetryShare{}
	}
	return svc.budget.share(time.Now(), f.bounds.Retry, f.burst)
}
