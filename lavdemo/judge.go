package lavdemo

import (
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
)

// judge fills in what the stand-ins and the watcher have counted.
func (d *demo) judge(s *script, now time.Time) {
	inForce, reverts := d.watcher.result(now)
	lastWork, lateWork := d.workAfter(s.takeOuts, now)
	d.counter.update(func(r *Report) {
		r.ReleaseInForceSeconds = inForce.Seconds()
		r.ReleaseReverts = reverts
		r.TakeOutSeconds = lastWork.Seconds()
		r.NewWorkAfterTakeOut = lateWork
		for _, e := range d.platform.engines {
			r.ColdOverloads += e.fake.Counts().ColdOverloads
		}
		r.LeakedReservations = d.held()
		d.judgeOrders(r)
		r.FalseNotRun += d.promptsThatRan()
		r.CutOffByPlannedStop = d.wire.cutOff
	})
}

// judgeOrders compares the order servers' book with what callers were told.
func (d *demo) judgeOrders(r *Report) {
	d.wire.mu.Lock()
	defer d.wire.mu.Unlock()
	runs := d.platform.book.Runs()
	for key, n := range runs {
		if n > 1 {
			r.OrdersRunMoreThanOnce++
		}
		// Each run needs a try that was not answered NotRun.
		if n > d.wire.tries[key]-d.wire.notRun[key] {
			r.FalseNotRun++
		}
	}
	for key := range d.wire.done {
		if runs[key] == 0 {
			r.OrdersLost++
		}
	}
}

// promptsThatRan counts prompts that were answered NotRun but ran.
func (d *demo) promptsThatRan() int {
	d.wire.mu.Lock()
	defer d.wire.mu.Unlock()
	notRun := make(map[string]bool, len(d.wire.promptsNotRun))
	for _, id := range d.wire.promptsNotRun {
		notRun[id] = true
	}
	ran := make(map[string]bool)
	for _, e := range d.platform.engines {
		for _, b := range e.fake.History().Started() {
			if notRun[b.Name] {
				ran[b.Name] = true
			}
		}
	}
	return len(ran)
}

// workAfter returns how long after a take-out the last new work began, and how
// much began later than the bound.
func (d *demo) workAfter(takeOuts []*takeOut, now time.Time) (time.Duration, int) {
	last, late := time.Duration(0), 0
	for _, t := range takeOuts {
		until := t.until
		if until.IsZero() {
			until = now
		}
		for _, begins := range d.begins(t) {
			for _, b := range begins {
				if b.At.Before(t.from) || b.At.After(until) {
					continue
				}
				after := b.At.Sub(t.from)
				last = max(last, after)
				if after > takeOutBound {
					late++
				}
			}
		}
	}
	return last, late
}

// begins lists the work of the endpoints that a take-out concerns.
func (d *demo) begins(t *takeOut) [][]lavfake.StartedRequest {
	var found [][]lavfake.StartedRequest
	for _, e := range d.platform.engines {
		if e.domain == t.domain || e.host == t.host {
			found = append(found, e.fake.History().Started())
		}
	}
	for _, o := range d.platform.orders {
		if o.domain == t.domain || o.host == t.host {
			found = append(found, o.fake.History().Started())
		}
	}
	return found
}
