package lavhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavplan"

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
	// keepers is how many hosts get each report: one tells the totals, and one
	// is ready to.
	keepers = 2
	// keptReports is how many of its own reports a host remembers.
	keptReports = 64
)

// keeperName is what keepers are ranked for.
const keeperName = "keeper of loads"

// loads tells the hosts of each other's work. In a small fleet each host reports
// to all others, and each one adds up. In a larger one it reports to two
// keepers, the first of which tells all hosts the totals: what a host hears then
// grows with the endpoints and not with the hosts.
type loads struct {
	socket *lavdatagram.Socket
	fleet  *lavfleet.Fleet
	views  lavmesh.Membership
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
	// totals counts the times that this host added up, and heard is the newest
	// number of each keeper.
	totals uint64
	heard  map[string]uint64
}

type heardReport struct {
	report
	at time.Time
}

func newLoads(socket *lavdatagram.Socket, fleet *lavfleet.Fleet, views lavmesh.Membership, logger *log.Logger) *loads {
	l := &loads{
		socket:  socket,
		fleet:   fleet,
		views:   views,
		logger:  logger,
		pending: make(chan struct{}, 1),
		reports: make(map[string]heardReport),
		heard:   make(map[string]uint64),
	}
	socket.Handle(lavdatagram.KindWork, l.hearReport)
	socket.Handle(lavdatagram.KindTotals, l.hearTotals)
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
		l.report()
		// What changes meanwhile is told together.
		_ = lavpause.For(ctx, l.gather())
	}
}

// report tells the keepers what this host has running.
func (l *loads) report() {
	own := l.fleet.Own()
	l.mu.Lock()
	l.number++
	r := report{Number: l.number, Host: l.views.Self().Incarnation, Loads: loadsOf(own), Paces: pacesOf(own)}
	l.sent[r.Number%keptReports] = r
	l.mu.Unlock()
	view := l.views.View()
	if l.direct() {
		l.take(r)
		l.send(r, others(view, r.Host))
		return
	}
	for rank, keeper := range keepersOf(view) {
		r.Primary = rank == 0
		if keeper.Incarnation == r.Host {
			l.take(r)
		} else {
			l.send(r, []lavmember.Member{keeper})
		}
	}
}

// send sends a report to members.
func (l *loads) send(r report, to []lavmember.Member) {
	data, err := lavdatagram.Encode(lavdatagram.KindWork, r)
	if err != nil {
		l.logger.Error().Err(err).Msg("work not told")
		return
	}
	l.sendAll(data, to)
}

func (l *loads) sendAll(data []byte, to []lavmember.Member) {
	for _, m := range to {
		if m.Datagrams.IsValid() {
			l.socket.Send(m.Datagrams, data)
		}
	}
}

// others returns the members of a view but for one.
func others(v *lavmember.View, self string) []lavmember.Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m lavmember.Member) bool { return m.Incarnation == self })
}

// direct reports whether the fleet is so small that each host tells all others.
func (l *loads) direct() bool { return len(l.views.View().Members) <= directHosts }

// keepersOf returns the keepers, the first one first.
func keepersOf(v *lavmember.View) []lavmember.Member {
	var chosen [keepers]lavmember.Member
	for _, m := range v.Members {
		if rank := lavmember.RendezvousRank(v, keeperName, m.Incarnation); rank < keepers {
			chosen[rank] = m
		}
	}
	return chosen[:min(len(v.Members), keepers)]
}

// hearReport is the handler of reports to this host as a keeper.
func (l *loads) hearReport(body []byte) {
	var r report
	if err := lavdatagram.Decode(body, &r); err != nil {
		l.logger.Warn().Err(err).Msg("report is passed over")
		return
	}
	l.take(r)
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

// hearTotals is the handler of totals.
func (l *loads) hearTotals(body []byte) {
	var t totals
	if err := lavdatagram.Decode(body, &t); err != nil {
		l.logger.Warn().Err(err).Msg("totals are passed over")
		return
	}
	if l.news(t) {
		l.adopt(t)
		l.forward(t)
	}
}

// news reports whether totals are newer than what this host has heard of their
// keeper. Datagrams may overtake each other.
func (l *loads) news(t totals) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Number <= l.heard[t.Keeper] {
		return false
	}
	l.heard[t.Keeper] = t.Number
	return true
}

// adopt takes over the totals less what this host has told itself.
func (l *loads) adopt(t totals) {
	others := lavfleet.Report{
		Loads: make(map[lavconfig.Incarnation]lavplan.Load, len(t.Loads)),
		Paces: make(map[lavconfig.Incarnation]float64, len(t.Paces)),
	}
	lives := l.lives()
	for _, sum := range t.Loads {
		if life, ok := lives[sum.Endpoint]; ok {
			others.Loads[life] = sum.load()
		}
	}
	for _, told := range t.Paces {
		if life, ok := lives[told.Endpoint]; ok {
			others.Paces[life] = float64(told.Pace)
		}
	}
	for _, own := range l.counted(t) {
		if life, ok := lives[own.Endpoint]; ok {
			rest := others.Loads[life].Minus(own.load())
			rest.Reading = max(rest.Reading, 0)
			others.Loads[life] = rest
		}
	}
	l.fleet.Hear(others)
}

// lives returns the endpoints by their short names. An endpoint that this host
// doesn't know yet is passed over: the next totals tell of it again.
func (l *loads) lives() map[shortName]lavconfig.Incarnation {
	all := l.fleet.Lives()
	lives := make(map[shortName]lavconfig.Incarnation, len(all))
	for _, life := range all {
		lives[shortLife(life)] = life
	}
	return lives
}

// counted returns this host's loads that are in the totals.
func (l *loads) counted(t totals) []endpointLoad {
	self := shortNameOf(l.views.Self().Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range t.Counted {
		if own := l.sent[c.Number%keptReports]; c.Host == self && own.Number == c.Number {
			return own.Loads
		}
	}
	return nil
}
