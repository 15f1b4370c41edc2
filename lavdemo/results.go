package lavdemo

import (
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
)

// fillReport adds the counts of the fake services and of the release watcher
// to the report.
func (d *demo) fillReport(s *script, now time.Time) {
	timeToInForce, reverts := d.watcher.summary(now)
	lastStartDelay, lateStarts := d.newWorkAfterWithdrawals(s.withdrawals, now)
	d.collector.update(func(r *Report) {
		r.ReleaseInForceSeconds = timeToInForce.Seconds()
		r.ReleaseReverts = reverts
		r.TakeOutSeconds = lastStartDelay.Seconds()
		r.NewWorkAfterTakeOut = lateStarts
		for _, e := range d.platform.engines {
			r.ColdOverloads += e.fake.Counts().ColdOverloads
		}
		r.LeakedReservations = d.countKVCacheHolders()
		d.checkOrders(r)
		r.FalseNotRun += d.countFalseNotRunPrompts()
		r.CutOffByPlannedStop = d.transport.cutOff
	})
}

// checkOrders compares the executions in the order book with the outcomes that
// callers got.
func (d *demo) checkOrders(r *Report) {
	d.transport.mu.Lock()
	defer d.transport.mu.Unlock()
	runs := d.platform.orderBook.Runs()
	for key, n := range runs {
		if n > 1 {
			r.OrdersRunMoreThanOnce++
		}
		// Each execution needs an attempt of its own that was not answered NotRun.
		if n > d.transport.orderAttempts[key]-d.transport.orderNotRun[key] {
			r.FalseNotRun++
		}
	}
	for key := range d.transport.ordersDone {
		if runs[key] == 0 {
			r.OrdersLost++
		}
	}
}

// countFalseNotRunPrompts returns the number of prompts that were answered
// NotRun although an engine started them.
func (d *demo) countFalseNotRunPrompts() int {
	d.transport.mu.Lock()
	defer d.transport.mu.Unlock()
	notRun := make(map[string]bool, len(d.transport.promptsNotRun))
	for _, id := range d.transport.promptsNotRun {
		notRun[id] = true
	}
	started := make(map[string]bool)
	for _, e := range d.platform.engines {
		for _, begin := range e.fake.History().Started() {
			if notRun[begin.Name] {
				started[begin.Name] = true
			}
		}
	}
	return len(started)
}

// newWorkAfterWithdrawals returns the longest time from the start of a
// withdrawal to the start of new work on its endpoints, and the number of
// requests that started there later than withdrawalBound.
func (d *demo) newWorkAfterWithdrawals(withdrawals []*withdrawal, now time.Time) (time.Duration, int) {
	lastDelay, lateCount := time.Duration(0), 0
	for _, w := range withdrawals {
		until := w.until
		if until.IsZero() {
			until = now
		}
		for _, starts := range d.startedWork(w) {
			for _, begin := range starts {
				if begin.At.Before(w.from) || begin.At.After(until) {
					continue
				}
				elapsed := begin.At.Sub(w.from)
				lastDelay = max(lastDelay, elapsed)
				if elapsed > withdrawalBound {
					lateCount++
				}
			}
		}
	}
	return lastDelay, lateCount
}

// startedWork returns the start records of all work on the endpoints that the
// withdrawal covers, one list for each endpoint.
func (d *demo) startedWork(w *withdrawal) [][]lavfake.StartedRequest {
	var started [][]lavfake.StartedRequest
	for _, e := range d.platform.engines {
		if e.failureDomain == w.failureDomain || e.host == w.host {
			started = append(started, e.fake.History().Started())
		}
	}
	for _, server := range d.platform.orderServers {
		if server.failureDomain == w.failureDomain || server.host == w.host {
			started = append(started, server.fake.History().Started())
		}
	}
	return started
}
