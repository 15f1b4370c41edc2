package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavplan"
)

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
		_ = lavpause.For(ctx, k.gather())
	}
}

func (l *loads) tell(t totals) {
	l.adopt(t)
	l.forward(t)
}

// forward passes totals on to this host's part of the tree.
func (l *loads) forward(t totals) {
	to := passOn(l.views.View(), t.Keeper, l.views.Self().Incarnation)
	if len(to) == 0 {
		return
	}
	data, err := lavdatagram.Encode(lavdatagram.KindTotals, t)
	if err != nil {
		l.logger.Error().Err(err).Msg("totals not told")
		return
	}
	l.sendAll(data, to)
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
	sums := make(map[shortName]lavplan.Load)
	l.totals++
	t := totals{Keeper: l.views.Self().Incarnation, Number: l.totals}
	for host, r := range l.reports {
		age := now.Sub(r.at)
		if age > reportTimeout {
			delete(l.reports, host)
			continue
		}
		for _, own := range r.Loads {
			load := own.load()
			load.Prefill = max(load.Prefill-age, 0)
			sums[own.Endpoint] = sums[own.Endpoint].Plus(load)
		}
		t.Paces = append(t.Paces, r.Paces...)
		t.Counted = append(t.Counted, counted{Host: shortNameOf(host), Number: r.Number})
	}
	for endpoint, load := range sums {
		t.Loads = append(t.Loads, newEndpointLoad(endpoint, load))
	}
	return t
}
