package lavhost

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavplan"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
)

// Times of telling loads.
const (
	// gatherTime is the least time between two reports of a host, and between
	// two totals of a keeper, in a fleet of up to gatherHosts.
	gatherTime  = 12 * time.Millisecond
	gatherHosts = 8
	mostGather  = 50 * time.Millisecond
	// directHosts is the size up to which each host tells all others itself.
	directHosts = 16
	// reportTime is the time between reports of a host whose work stays as it
	// is.
	reportTime = 300 * time.Millisecond
	// reportTimeout is how long a keeper believes a report.
	reportTimeout = 1200 * time.Millisecond
	// primaryTime is how long a keeper tells totals after a host has reported
	// to it as the first keeper.
	primaryTime = 900 * time.Millisecond
	tellTimeout = 300 * time.Millisecond
	// keepers is how many hosts get each report: one tells the totals, and one
	// is ready to.
	keepers = 2
	// keptReports is how many of its own reports a host remembers.
	keptReports = 64
)

// keeperName is what keepers are ranked for.
const keeperName = "keeper of loads"

// report is what a host has running.
type report struct {
	Number uint64 `cbor:"1,keyasint"`
	// Primary is true if the receiver is the first keeper by the sender's view.
	Primary bool       `cbor:"2,keyasint,omitempty"`
	Host    string     `cbor:"3,keyasint"`
	Loads   []lifeLoad `cbor:"4,keyasint,omitempty"`
	Paces   []lifePace `cbor:"5,keyasint,omitempty"`
}

// totals is what all hosts have running.
type totals struct {
	Loads []lifeLoad `cbor:"1,keyasint,omitempty"`
	Paces []lifePace `cbor:"2,keyasint,omitempty"`
	// Counted names the report of each host that is in the sum.
	Counted []counted `cbor:"3,keyasint,omitempty"`
}

type counted struct {
	Host   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

type lifeLoad struct {
	Life lavconfig.Life `cbor:"1,keyasint"`
	Load lavplan.Load   `cbor:"2,keyasint"`
}

type lifePace struct {
	Life lavconfig.Life `cbor:"1,keyasint"`
	Pace float64        `cbor:"2,keyasint"`
}

// loads tells the hosts of each other's work. In a small fleet each host reports
// to all others, and each one adds up. In a larger one it reports to two
// keepers, the first of which tells all hosts the totals: what a host hears then
// grows with the endpoints and not with the hosts.
type loads struct {
	mesh   *lavmesh.Mesh
	fleet  *lavfleet.Fleet
	views  lavmesh.Views
	logger *log.Logger
	// pending wakes the keeper.
	pending chan struct{}

	mu     sync.Mutex
	number uint64
	// sent are this host's last reports, by number modulo keptReports.
	sent [keptReports]report
	// reports are what others have told this host as a keeper.
	reports      map[string]heardReport
	primaryUntil time.Time
}

type heardReport struct {
	report
	at time.Time
}

func newLoads(mesh *lavmesh.Mesh, fleet *lavfleet.Fleet, views lavmesh.Views, logger *log.Logger) *loads {
	l := &loads{
		mesh:    mesh,
		fleet:   fleet,
		views:   views,
		logger:  logger,
		pending: make(chan struct{}, 1),
		reports: make(map[string]heardReport),
	}
	mesh.Handle(lavmesh.TopicWork, l.hearReport)
	mesh.Handle(lavmesh.TopicTotals, l.hearTotals)
	return l
}

// gather returns the least time between two messages.
func (l *loads) gather() time.Duration {
	hosts := time.Duration(len(l.views.View().Members))
	return min(gatherTime*max(hosts, gatherHosts)/gatherHosts, mostGather)
}

// Serve implements suture.Service: it reports this host's work.
func (l *loads) Serve(ctx context.Context) error {
	for {
		timer := time.NewTimer(reportTime)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-l.fleet.Changed():
		case <-timer.C:
		}
		timer.Stop()
		l.report(ctx)
		// What changes meanwhile is told together.
		sleep(ctx, l.gather())
	}
}

// report tells the keepers what this host has running.
func (l *loads) report(ctx context.Context) {
	own := l.fleet.Own()
	l.mu.Lock()
	l.number++
	r := report{Number: l.number, Host: l.views.Self().Incarnation, Loads: loadsOf(own), Paces: pacesOf(own)}
	l.sent[r.Number%keptReports] = r
	l.mu.Unlock()
	if l.direct() {
		l.take(r)
		if _, err := l.mesh.Spread(lavmesh.TopicWork, r); err != nil {
			l.logger.Warn().Err(err).Msg("work not spread")
		}
		return
	}
	for rank, keeper := range keepersOf(l.views.View()) {
		r.Primary = rank == 0
		if keeper == r.Host {
			l.take(r)
			continue
		}
		tell, cancel := context.WithTimeout(ctx, tellTimeout)
		// A keeper that can't be reached is out of the view soon.
		err := l.mesh.Tell(tell, keeper, lavmesh.TopicWork, r)
		cancel()
		if err != nil {
			l.logger.Debug().Err(err).Str("Keeper", keeper).Msg("work not told")
		}
	}
}

// direct reports whether the fleet is so small that each host tells all others.
func (l *loads) direct() bool { return len(l.views.View().Members) <= directHosts }

// keepersOf returns the keepers, the first one first.
func keepersOf(v *lavmember.View) []string {
	var chosen [keepers]string
	for _, m := range v.Members {
		if rank := lavmember.Rank(v, keeperName, m.Incarnation); rank < keepers {
			chosen[rank] = m.Incarnation
		}
	}
	return chosen[:min(len(v.Members), keepers)]
}

func loadsOf(r lavfleet.Report) []lifeLoad {
	out := make([]lifeLoad, 0, len(r.Loads))
	for life, load := range r.Loads {
		out = append(out, lifeLoad{Life: life, Load: load})
	}
	return out
}

func pacesOf(r lavfleet.Report) []lifePace {
	out := make([]lifePace, 0, len(r.Paces))
	for life, pace := range r.Paces {
		out = append(out, lifePace{Life: life, Pace: pace})
	}
	return out
}

// hearReport is the mesh's handler of reports to this host as a keeper.
func (l *loads) hearReport(_ context.Context, _ string, body []byte) (any, error) {
	var r report
	if err := lavmesh.Decode(body, &r); err != nil {
		return nil, err
	}
	l.take(r)
	return nil, nil
}

func (l *loads) take(r report) {
	now := time.Now()
	l.mu.Lock()
	if l.reports[r.Host].Number < r.Number {
		l.reports[r.Host] = heardReport{report: r, at: now}
	}
	if r.Primary {
		l.primaryUntil = now.Add(primaryTime)
	}
	l.mu.Unlock()
	if l.direct() {
		l.adopt(l.sum())
		return
	}
	select {
	case l.pending <- struct{}{}:
	default:
	}
}

// keeper is the service that tells the totals while this host is a keeper.
type keeper struct{ *loads }

// Serve implements suture.Service.
func (k keeper) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.pending:
		}
		if k.primary() {
			k.tell(k.sum())
		}
		sleep(ctx, k.gather())
	}
}

func (l *loads) tell(t totals) {
	l.adopt(t)
	if _, err := l.mesh.Spread(lavmesh.TopicTotals, t); err != nil {
		l.logger.Warn().Err(err).Msg("totals not spread")
	}
}

// primary reports whether a host takes this one for the first keeper.
func (l *loads) primary() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.primaryUntil)
}

// sum adds up the reports.
func (l *loads) sum() totals {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make(map[lavconfig.Life]lavplan.Load)
	var t totals
	for host, r := range l.reports {
		age := now.Sub(r.at)
		if age > reportTimeout {
			delete(l.reports, host)
			continue
		}
		for _, own := range r.Loads {
			own.Load.Reading = max(own.Load.Reading-age, 0)
			sums[own.Life] = sums[own.Life].Plus(own.Load)
		}
		t.Paces = append(t.Paces, r.Paces...)
		t.Counted = append(t.Counted, counted{Host: xxhash.Sum64String(host), Number: r.Number})
	}
	for life, load := range sums {
		t.Loads = append(t.Loads, lifeLoad{Life: life, Load: load})
	}
	return t
}

// hearTotals is the mesh's handler of totals.
func (l *loads) hearTotals(_ context.Context, _ string, body []byte) (any, error) {
	var t totals
	if err := lavmesh.Decode(body, &t); err != nil {
		return nil, err
	}
	l.adopt(t)
	return nil, nil
}

// adopt takes over the totals less what this host has told itself.
func (l *loads) adopt(t totals) {
	others := lavfleet.Report{
		Loads: make(map[lavconfig.Life]lavplan.Load, len(t.Loads)),
		Paces: make(map[lavconfig.Life]float64, len(t.Paces)),
	}
	for _, sum := range t.Loads {
		others.Loads[sum.Life] = sum.Load
	}
	for _, told := range t.Paces {
		others.Paces[told.Life] = told.Pace
	}
	for _, own := range l.counted(t) {
		rest := others.Loads[own.Life].Minus(own.Load)
		rest.Reading = max(rest.Reading, 0)
		others.Loads[own.Life] = rest
	}
	l.fleet.Hear(others)
}

// counted returns this host's loads that are in the totals.
func (l *loads) counted(t totals) []lifeLoad {
	self := xxhash.Sum64String(l.views.Self().Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range t.Counted {
		if own := l.sent[c.Number%keptReports]; c.Host == self && own.Number == c.Number {
			return own.Loads
		}
	}
	return nil
}
