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

// Timing and fan-out of the load exchange.
const (
	// minSendInterval is the least time between two reports of a host, and
	// between two totals of an aggregator, in a fleet of up to sendBaseHosts.
	// In a larger fleet the time grows in proportion, up to midSendInterval, but
	// it is at least sendIntervalPerHost for each host: the size of totals grows
	// with the fleet too.
	minSendInterval     = 12 * time.Millisecond
	sendBaseHosts       = 8
	midSendInterval     = 50 * time.Millisecond
	sendIntervalPerHost = 500 * time.Microsecond
	// maxDirectHosts is the largest fleet in which each host sends its reports
	// to all others.
	maxDirectHosts = 16
	// reportInterval is the time between reports of a host whose load doesn't
	// change. A host without load waits for at least idleReportPerHost for each
	// host of the fleet.
	reportInterval    = 300 * time.Millisecond
	idleReportPerHost = 10 * time.Millisecond
	// reportTimeout is how long a report remains valid.
	reportTimeout = 1200 * time.Millisecond
	// primaryLease is how long a host publishes totals after it has received a
	// report as the primary aggregator.
	primaryLease = 900 * time.Millisecond
	// aggregatorCount is how many hosts receive each report: the primary
	// aggregator, which publishes the totals, and a standby.
	aggregatorCount = 2
	// sentReportHistory is how many of its own reports a host remembers.
	sentReportHistory = 64
)

// aggregatorRankKey is the key of the rendezvous hash that selects the
// aggregators. All hosts of a fleet must use the same text.
const aggregatorRankKey = "keeper of loads"

// loadExchange shares the load that each host has placed on the endpoints with
// all hosts. In a small fleet each host sends its report to all others, and
// each adds up the reports. In a larger fleet each host reports to two
// aggregators, and the primary one sends the totals to all hosts, so that the
// volume that a host receives grows with the number of endpoints and not with
// the number of hosts.
type loadExchange struct {
	socket *lavdatagram.Socket
	fleet  *lavfleet.Fleet
	views  lavmesh.Membership
	logger *log.Logger
	// grants are the placements of schedulers, which reports and totals contain.
	grants grantAccounts
	// reportsChanged wakes the aggregator service.
	reportsChanged chan struct{}

	mu sync.Mutex
	// reportNumber is the number of this host's last report.
	reportNumber uint64
	// sentReports holds this host's last reports, indexed by number modulo
	// sentReportHistory.
	sentReports [sentReportHistory]loadReport
	// lastStandbyReport is when the standby aggregator was last sent a report. Only
	// Serve uses it.
	lastStandbyReport time.Time
	// received holds the last report of each host, and primaryUntil is when
	// this host ceases to be the primary aggregator.
	received     map[string]receivedReport
	primaryUntil time.Time
	// totalsNumber is the number of this host's last sum. latestTotals holds
	// the highest number received from each aggregator.
	totalsNumber uint64
	latestTotals map[string]uint64
}

// grantAccounts keeps account of the placements of schedulers.
type grantAccounts interface {
	// countedGrants returns the placements that this host's load contains.
	countedGrants() []countedGrant
	// totalsApplied says that this host has applied the totals of an aggregator with a number, and
	// settle which placements of this host's scheduler totals contain.
	totalsApplied(aggregator string, number uint64)
	settle(t grantTotals)
}

// noGrants is the account of a host without schedulers.
type noGrants struct{}

func (noGrants) countedGrants() []countedGrant { return nil }
func (noGrants) totalsApplied(string, uint64)  {}
func (noGrants) settle(grantTotals)            {}

// receivedReport is a report with its time of arrival.
type receivedReport struct {
	loadReport
	at time.Time
}

func newLoadExchange(socket *lavdatagram.Socket, fleet *lavfleet.Fleet, views lavmesh.Membership, logger *log.Logger) *loadExchange {
	l := &loadExchange{
		socket:         socket,
		fleet:          fleet,
		views:          views,
		logger:         logger,
		grants:         noGrants{},
		reportsChanged: make(chan struct{}, 1),
		received:       make(map[string]receivedReport),
		latestTotals:   make(map[string]uint64),
	}
	handleDatagrams(socket, lavdatagram.KindWork, logger, l.acceptReport)
	handleDatagrams(socket, lavdatagram.KindTotals, logger, l.handleTotals)
	return l
}

// sendInterval returns the least time between two messages for the current
// fleet.
func (l *loadExchange) sendInterval() time.Duration {
	hosts := time.Duration(len(l.views.View().Members))
	interval := min(minSendInterval*max(hosts, sendBaseHosts)/sendBaseHosts, midSendInterval)
	return max(interval, hosts*sendIntervalPerHost)
}

// reportIntervalFor returns the time until this host's next report if its load
// doesn't change.
func (l *loadExchange) reportIntervalFor(r loadReport) time.Duration {
	if !r.idle() {
		return reportInterval
	}
	return max(reportInterval, time.Duration(len(l.views.View().Members))*idleReportPerHost)
}

// Serve implements suture.Service. It reports this host's load when it changes,
// and at least every reportInterval.
func (l *loadExchange) Serve(ctx context.Context) error {
	interval := reportInterval
	for {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-l.fleet.Changed():
		case <-timer.C:
		}
		timer.Stop()
		interval = l.reportIntervalFor(l.sendReport())
		// Changes during the pause are sent in one report.
		_ = lavpause.For(ctx, l.sendInterval())
	}
}

// sendReport sends this host's load to the aggregators, or to all hosts of a
// small fleet, and returns the report. The standby aggregator receives only one
// report per reportInterval.
func (l *loadExchange) sendReport() loadReport {
	r := l.nextReport()
	view := l.views.View()
	if l.exchangesDirectly() {
		l.acceptReport(r)
		l.sendReportTo(r, membersExcept(view, r.Host))
		return r
	}
	for rank, member := range aggregatorsOf(view) {
		r.Primary = rank == 0
		if !r.Primary && time.Since(l.lastStandbyReport) < reportInterval {
			continue
		}
		if !r.Primary {
			l.lastStandbyReport = time.Now()
		}
		if member.Incarnation == r.Host {
			l.acceptReport(r)
		} else {
			l.sendReportTo(r, []lavmember.Member{member})
		}
	}
	return r
}

// nextReport returns a report of this host's load and remembers it.
func (l *loadExchange) nextReport() loadReport {
	var grants []countedGrant
	if !l.exchangesDirectly() {
		// They come before the load, which then contains them.
		grants = l.grants.countedGrants()
	}
	own := l.fleet.LocalReport()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportNumber++
	r := loadReport{Number: l.reportNumber, Host: l.views.Self().Incarnation, Slowdowns: encodeSlowdowns(own), Grants: grants}
	r.Loads = encodeLoads(&r.Pauses, own)
	l.sentReports[r.Number%sentReportHistory] = r
	return r
}

// sendReportTo sends a report to the given members.
func (l *loadExchange) sendReportTo(r loadReport, to []lavmember.Member) {
	data, err := lavdatagram.Encode(lavdatagram.KindWork, r)
	if err != nil {
		l.logger.Error().Err(err).Msg("failed to encode load report")
		return
	}
	l.sendDatagram(data, to)
}

func (l *loadExchange) sendDatagram(data []byte, to []lavmember.Member) {
	for _, m := range to {
		if m.Datagrams.IsValid() {
			l.socket.Send(m.Datagrams, data)
		}
	}
}

// membersExcept returns the members of a view without this host.
func membersExcept(v *lavmember.View, self string) []lavmember.Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m lavmember.Member) bool { return m.Incarnation == self })
}

// exchangesDirectly reports whether the fleet is small enough for each host to
// send its reports to all others.
func (l *loadExchange) exchangesDirectly() bool { return len(l.views.View().Members) <= maxDirectHosts }

// aggregatorsOf returns the aggregators in order of rank, the primary one
// first.
func aggregatorsOf(v *lavmember.View) []lavmember.Member {
	return lavmember.HighestRanked(v, aggregatorRankKey, aggregatorCount)
}

// acceptReport stores a report unless it is older than the stored one. In a
// small fleet it then applies the new sum, otherwise it wakes the aggregator
// service.
func (l *loadExchange) acceptReport(r loadReport) {
	now := time.Now()
	l.mu.Lock()
	if l.received[r.Host].Number < r.Number {
		l.received[r.Host] = receivedReport{loadReport: r, at: now}
	}
	if r.Primary {
		l.primaryUntil = now.Add(primaryLease)
	}
	l.mu.Unlock()
	if l.exchangesDirectly() {
		l.applyTotals(l.sumReports())
		return
	}
	select {
	case l.reportsChanged <- struct{}{}:
	default:
	}
}

// handleTotals applies and forwards totals unless this host has received newer
// ones.
func (l *loadExchange) handleTotals(t loadTotals) {
	if l.isNewer(t) {
		l.applyTotals(t)
		l.forwardTotals(t)
	}
}

// isNewer reports whether totals have a higher number than any received from
// their aggregator, and records the number. Datagrams may arrive out of order.
func (l *loadExchange) isNewer(t loadTotals) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Number <= l.latestTotals[t.Aggregator] {
		return false
	}
	l.latestTotals[t.Aggregator] = t.Number
	return true
}

// applyTotals passes the load of all other hosts to the fleet: the totals less
// the load that this host reported itself.
func (l *loadExchange) applyTotals(t loadTotals) {
	remote := lavfleet.Report{
		Loads:     make(map[lavconfig.Incarnation]lavplan.Load, len(t.Loads)),
		Slowdowns: make(map[lavconfig.Incarnation]float64, len(t.Slowdowns)),
	}
	incarnations := l.incarnationsByHash()
	for _, sum := range t.Loads {
		if incarnation, ok := incarnations[sum.Endpoint]; ok {
			remote.Loads[incarnation] = sum.toLoad(t.Pauses)
		}
	}
	for _, slowdown := range t.Slowdowns {
		if incarnation, ok := incarnations[slowdown.Endpoint]; ok {
			remote.Slowdowns[incarnation] = float64(slowdown.Pace)
		}
	}
	counted := l.ownCountedReport(t)
	for _, own := range counted.Loads {
		if incarnation, ok := incarnations[own.Endpoint]; ok {
			remaining := remote.Loads[incarnation].Minus(own.toLoad(counted.Pauses))
			remaining.Prefill = max(remaining.Prefill, 0)
			remote.Loads[incarnation] = remaining
		}
	}
	l.fleet.SetPeerReport(remote)
	l.grants.totalsApplied(t.Aggregator, t.Number)
}

// incarnationsByHash returns the known endpoints by the hash of their names. Totals of
// an endpoint that this host doesn't know yet are skipped; later totals contain
// it again.
func (l *loadExchange) incarnationsByHash() map[nameHash]lavconfig.Incarnation {
	all := l.fleet.KnownEndpoints()
	incarnations := make(map[nameHash]lavconfig.Incarnation, len(all))
	for _, incarnation := range all {
		incarnations[hashIncarnation(incarnation)] = incarnation
	}
	return incarnations
}

// ownCountedReport returns the report of this host that the totals include.
func (l *loadExchange) ownCountedReport(t loadTotals) loadReport {
	self := hashName(l.views.Self().Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range t.CountedReports {
		if own := l.sentReports[c.Number%sentReportHistory]; c.Host == self && own.Number == c.Number {
			return own
		}
	}
	return loadReport{}
}
