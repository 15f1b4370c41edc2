package lavfleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

const (
	// loadTimeout is how long what is told of the others' work holds. It is
	// told many times in this time.
	loadTimeout = 1500 * time.Millisecond
	// coldWindow is a second and some time for requests to arrive late.
	coldWindow = 1200 * time.Millisecond
)

// Bounds are what all hosts together keep to.
type Bounds struct {
	Retry BudgetBounds
	// ColdFactor and ColdSlack turn an endpoint's own figure into the bound on
	// the requests that it gets in a second while it is cold.
	ColdFactor float64
	ColdSlack  float64
}

// Fleet is the endpoints in service and the work on them. It is safe for
// concurrent use.
type Fleet struct {
	mu        sync.Mutex
	bounds    Bounds
	endpoints map[lavconfig.Incarnation]*state
	services  map[string]*service
	out       map[string]bool
	// others is what the other hosts have running, as of othersAt.
	others   Report
	othersAt time.Time
	// hosts is how many hosts may send work, and place this one's among them.
	hosts, place int
	// born is when this host began to count.
	born time.Time
	// changed tells of long readings that began or ended.
	changed chan struct{}
}

// service is the endpoints of one service, in order of their IDs.
type service struct {
	lavconfig.Service
	endpoints []*state
	budget    *budget
}

// state is an endpoint and what is known of it.
type state struct {
	lavconfig.Endpoint
	// own is this host's work but for its reading, which readings hold.
	own      lavplan.Load
	readings []*reading
	// peers is the others' work as of peersAt.
	peers   lavplan.Load
	peersAt time.Time
	sent    window
	doubt   doubt
	pace    pace
	// near is true if this host may use the endpoint.
	near bool
}

// Report is what a host tells its peers of the endpoints.
type Report struct {
	// Loads is what the host has running.
	Loads map[lavconfig.Incarnation]lavplan.Load
	// Paces is what endpoints have told the host lately.
	Paces map[lavconfig.Incarnation]float64
}

// New returns a fleet without endpoints.
func New(bounds Bounds) *Fleet {
	return &Fleet{
		bounds:    bounds,
		endpoints: make(map[lavconfig.Incarnation]*state),
		services:  make(map[string]*service),
		out:       make(map[string]bool),
		hosts:     1,
		born:      time.Now(),
		changed:   make(chan struct{}, 1),
	}
}

// Changed tells that this host's work has changed so much that peers should
// hear of it at once.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

func (f *Fleet) change() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Update replaces the services, the endpoints and the failure domains that are
// out of service. What is known of endpoints that stay is kept.
func (f *Fleet) Update(services []lavconfig.Service, endpoints []lavconfig.Endpoint, out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateServices(services)
	f.out = make(map[string]bool, len(out))
	for _, domain := range out {
		f.out[domain] = true
	}
	known := make(map[lavconfig.Incarnation]*state, len(endpoints))
	for _, e := range endpoints {
		s := f.endpoints[e.Incarnation()]
		if s == nil {
			s = &state{sent: window{span: coldWindow}}
		}
		s.Endpoint = e
		known[e.Incarnation()] = s
		if svc := f.services[e.Service]; svc != nil {
			svc.endpoints = append(svc.endpoints, s)
		}
	}
	f.endpoints = known
	for _, svc := range f.services {
		slices.SortFunc(svc.endpoints, func(a, b *state) int { return cmp.Compare(a.ID, b.ID) })
	}
	f.layOut()
	f.shareOthers()
}

func (f *Fleet) updateServices(services []lavconfig.Service) {
	next := make(map[string]*service, len(services))
	for _, s := range services {
		b := newBudget(f.born, f.bounds.Retry.Window)
		if had := f.services[s.Name]; had != nil {
			b = had.budget
		}
		next[s.Name] = &service{Service: s, budget: b}
	}
	f.services = next
}

// SetBounds replaces the bounds.
func (f *Fleet) SetBounds(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds = b
	f.layOut()
}

// SetHosts tells how many hosts may send work, this one included, and this one's
// place among them, from 0.
func (f *Fleet) SetHosts(n, place int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = max(n, 1)
	if n != f.hosts || place != f.place {
		f.hosts, f.place = n, place
		f.layOut()
	}
}

// Hear takes over what all other hosts together have running.
func (f *Fleet) Hear(r Report) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.othersAt = r, now
	for life, factor := range r.Paces {
		if s := f.endpoints[life]; s != nil {
			s.pace.tell(factor, now)
		}
	}
	f.shareOthers()
}

// shareOthers gives each endpoint its part of what the others have running. The
// caller holds the lock.
func (f *Fleet) shareOthers() {
	for life, s := range f.endpoints {
		s.peers, s.peersAt = f.others.Loads[life], f.othersAt
	}
}

// expire forgets what the others have running once nobody has told of it for
// too long. The caller holds the lock.
func (f *Fleet) expire(now time.Time) {
	if len(f.others.Loads) > 0 && now.Sub(f.othersAt) > loadTimeout {
		f.others = Report{}
		f.shareOthers()
	}
}

// Own returns what this host tells its peers.
func (f *Fleet) Own() Report {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Report{Loads: make(map[lavconfig.Incarnation]lavplan.Load), Paces: make(map[lavconfig.Incarnation]float64)}
	for life, s := range f.endpoints {
		load := s.own
		load.Reading = s.ownReading(now)
		if !load.Zero() {
			r.Loads[life] = load
		}
		if s.pace.own(now) {
			r.Paces[life] = s.pace.factor
		}
	}
	return r
}

// Lives returns the endpoints that this host knows.
func (f *Fleet) Lives() []lavconfig.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	lives := make([]lavconfig.Incarnation, 0, len(f.endpoints))
	for life := range f.endpoints {
		lives = append(lives, life)
	}
	return lives
}

// InService reports whether an endpoint may take new requests.
func (f *Fleet) InService(life lavconfig.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	return s != nil && f.serves(s)
}

func (f *Fleet) serves(s *state) bool { return !s.Leaving && !f.out[s.FailureDomain] }

// Request counts a request to a service, for its retry budget.
func (f *Fleet) Request(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[name]; svc != nil {
		svc.budget.requests.add(time.Now())
	}
}

// SpendRepeat takes one repeat from a service's retry budget, or reports false.
func (f *Fleet) SpendRepeat(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	svc := f.services[name]
	return svc != nil && svc.budget.spend(time.Now(), f.bounds.Retry, f.hosts)
}

// Board is the endpoints of a service that may take a request now.
type Board struct {
	Service    lavconfig.Service
	Endpoints  []lavconfig.Endpoint
	Candidates []lavplan.Candidate
	// Bound is true if endpoints were left out because they may be cold and
	// have got this host's part of what they bear.
	Bound bool
	// Hosts is how many hosts place requests there.
	Hosts int
	// Age is how long ago this host heard of the others' work.
	Age time.Duration
}

// Board returns the endpoints of a service but for those that skip names. It
// returns false for an unknown service.
func (f *Fleet) Board(name string, skip func(lavconfig.Incarnation) bool) (Board, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	svc := f.services[name]
	if svc == nil {
		return Board{}, false
	}
	b := Board{Service: svc.Service, Hosts: f.hosts, Age: now.Sub(f.othersAt)}
	share := f.coldShare(svc)
	for _, s := range svc.endpoints {
		if !f.serves(s) || skip(s.Incarnation()) || !s.near {
			continue
		}
		if s.sent.count(now) >= share {
			b.Bound = true
			continue
		}
		b.Endpoints = append(b.Endpoints, s.Endpoint)
		load := s.own.Plus(s.peers)
		load.Reading = s.ahead(now)
		b.Candidates = append(b.Candidates, lavplan.Candidate{
			Load:     load,
			Slots:    s.Slots,
			Pace:     s.pace.now(now),
			Doubtful: s.doubt.holds(now),
		})
	}
	return b, true
}
