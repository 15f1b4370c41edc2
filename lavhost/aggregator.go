package lavhost

import (
	"context"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavplan"
)

// aggregator is the service that publishes load totals while this host is the
// primary aggregator.
type aggregator struct{ *loadExchange }

// Serve implements suture.Service.
func (a aggregator) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.reportsChanged:
		}
		if a.isPrimary() {
			t := a.sumReports()
			a.publishTotals(t)
			a.sendSettled(t)
		}
		_ = lavpause.For(ctx, a.sendInterval())
	}
}

// publishTotals applies totals on this host and sends them to the others.
func (l *loadExchange) publishTotals(t loadTotals) {
	l.applyTotals(t)
	l.forwardTotals(t)
}

// forwardTotals sends totals to the next hosts in the distribution tree.
func (l *loadExchange) forwardTotals(t loadTotals) {
	to := nextHops(l.views.View(), t.Aggregator, l.views.Self().Incarnation)
	if len(to) == 0 {
		return
	}
	data, err := lavdatagram.Encode(lavdatagram.KindTotals, t)
	if err != nil {
		l.logger.Error().Err(err).Msg("failed to encode load totals")
		return
	}
	l.sendDatagram(data, to)
}

// isPrimary reports whether a host has recently addressed a report to this host
// as the primary aggregator.
func (l *loadExchange) isPrimary() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.primaryUntil)
}

// sumReports adds up the current reports of all hosts and discards those older
// than reportTimeout. The remaining prefill time in a report shrinks with its
// age.
func (l *loadExchange) sumReports() loadTotals {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make(map[nameHash]lavplan.Load)
	l.totalsNumber++
	t := loadTotals{Aggregator: l.views.Self().Incarnation, Number: l.totalsNumber, settled: make(map[nameHash][]settledGrant)}
	for host, r := range l.received {
		age := now.Sub(r.at)
		if age > reportTimeout {
			delete(l.received, host)
			continue
		}
		for _, own := range r.Loads {
			load := own.toLoad(r.Pauses)
			load.Prefill = max(load.Prefill-age, 0)
			sums[own.Endpoint] = sums[own.Endpoint].Plus(load)
		}
		t.Slowdowns = append(t.Slowdowns, r.Slowdowns...)
		t.settle(hashName(host), r.Grants)
		if len(r.Loads) == 0 {
			continue
		}
		t.CountedReports = append(t.CountedReports, countedReport{Host: hashName(host), Number: r.Number})
	}
	for endpoint, load := range sums {
		t.Loads = append(t.Loads, newEndpointLoad(&t.Pauses, endpoint, load))
	}
	return t
}

// settle adds the placements that the report of a host contains.
func (t *loadTotals) settle(host nameHash, grants []countedGrant) {
	for _, g := range grants {
		scheduler := g.Account.Scheduler
		t.settled[scheduler] = append(t.settled[scheduler], settledGrant{Cell: g.Account.Cell, Host: host, Grant: g.Grant})
	}
}

// maxSettledGrants bounds the size of a message about grants.
const maxSettledGrants = 1500

// sendSettled tells each scheduler which of its placements the totals contain.
func (l *loadExchange) sendSettled(t loadTotals) {
	if len(t.settled) == 0 {
		return
	}
	for _, m := range l.views.View().Members {
		for grants := range slices.Chunk(t.settled[hashName(m.Incarnation)], maxSettledGrants) {
			l.sendGrants(m, grantTotals{Aggregator: t.Aggregator, Number: t.Number, Settled: grants})
		}
	}
}

// sendGrants sends a message about grants to a scheduler, which may be on this host.
func (l *loadExchange) sendGrants(to lavmember.Member, g grantTotals) {
	if to.Incarnation == g.Aggregator {
		l.grants.settle(g)
		return
	}
	data, err := lavdatagram.Encode(lavdatagram.KindGrants, g)
	if err != nil {
		l.logger.Error().Err(err).Str("Host", to.Host).Msg("failed to encode a message about grants")
		return
	}
	l.sendDatagram(data, []lavmember.Member{to})
}
