package lavburn

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// Bounds of a report.
const (
	reportCustomers = 20
	seriesStep      = 5
)

// Report is the burn of every objective at one time.
type Report struct {
	Taken time.Time
	// Hosts is the number of incarnations heard of in the last minutes.
	Hosts int
	// Dropped counts what peers sent too late or out of bounds.
	Dropped    uint64
	Objectives []ObjectiveReport
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Name       string
	Kind       string
	Class      string
	FirstToken lavrelease.Duration
	Target     float64
	Alert      Alert
	// BudgetLeft is the share of the budget of the longest window that is
	// left; below zero it is overspent.
	BudgetLeft float64
	Windows    []WindowReport
	// Customers are those with the most bad requests in the last hour.
	Customers []CustomerReport
	// Series is the burn of the last hours, oldest first.
	Series []Point
}

// WindowReport is the burn over one window.
type WindowReport struct {
	Window lavrelease.Duration
	Count  Count
	Burn   float64
}

// CustomerReport is the burn of one customer over the last hour.
type CustomerReport struct {
	Customer string
	Count    Count
	Burn     float64
}

// Point is the burn over a few minutes.
type Point struct {
	From  time.Time
	Count Count
	Burn  float64
}

// Report returns the burn of the fleet as this host knows it.
func (b *Tracker) Report(now time.Time) *Report {
	objectives := b.objectives()
	b.mu.Lock()
	defer b.mu.Unlock()
	minute := minuteOf(now)
	b.fold(minute)
	r := &Report{Taken: now.UTC(), Hosts: b.hosts(), Dropped: b.dropped}
	recent := b.recent(minute)
	for _, o := range objectives {
		r.Objectives = append(r.Objectives, b.objective(minute, recent, o))
	}
	slices.SortStableFunc(r.Objectives, func(x, y ObjectiveReport) int { return cmp.Compare(y.Alert, x.Alert) })
	return r
}

// hosts counts the incarnations whose cells are not folded. The caller holds
// the lock.
func (b *Tracker) hosts() int {
	seen := make(map[string]bool)
	if len(b.own) > 0 {
		seen[b.incarnation] = true
	}
	for key := range b.cells {
		seen[key.incarnation] = true
	}
	return len(seen)
}

// recent returns the minutes that are not folded, summed over the hosts. The
// caller holds the lock.
func (b *Tracker) recent(now Minute) map[bucketKey]Sum {
	sums := make(map[bucketKey]Sum)
	for m := now - settleMinutes; m <= now+1; m++ {
		for objective, s := range b.sums(m) {
			sums[bucketKey{minute: m, objective: objective}] = s
		}
	}
	return sums
}

func (b *Tracker) objective(now Minute, recent map[bucketKey]Sum, o lavrelease.Objective) ObjectiveReport {
	at := func(m Minute) Sum {
		key := bucketKey{minute: m, objective: o.Name}
		folded, open := b.history.fine[key], recent[key]
		folded.Count = folded.Count.Max(open.Count)
		folded.Customers = mergeCustomers(folded.Customers, open.Customers, Count.Max)
		return folded
	}
	r := ObjectiveReport{Name: o.Name, Kind: o.Kind, Class: o.ClassName(), FirstToken: o.FirstToken, Target: o.Target}
	burns := make(map[time.Duration]float64)
	for _, w := range windows {
		count := b.over(now, w, o.Name, at)
		burns[w] = count.Burn(o.Target)
		r.Windows = append(r.Windows, WindowReport{Window: lavrelease.Duration(w), Count: count, Burn: burns[w]})
	}
	r.Alert = alertOf(func(w time.Duration) float64 { return burns[w] })
	r.BudgetLeft = 1 - burns[windows[len(windows)-1]]
	r.Customers = customers(now, o.Target, at)
	r.Series = series(now, o.Target, at)
	return r
}

// over counts an objective over a window. The longest one reads the coarse
// buckets up to where the fine ones begin.
func (b *Tracker) over(now Minute, window time.Duration, objective string, at func(Minute) Sum) Count {
	minutes := Minute(window / time.Minute)
	var count Count
	fineFrom := now - min(minutes, fineMinutes) + 1
	if minutes > fineMinutes {
		fineFrom -= fineFrom % coarseMinutes
		for m := fineFrom - coarseMinutes; m > now-minutes; m -= coarseMinutes {
			count = count.Add(b.history.coarse[bucketKey{minute: m, objective: objective}])
		}
	}
	for m := fineFrom; m <= now; m++ {
		count = count.Add(at(m).Count)
	}
	return count
}

func customers(now Minute, target float64, at func(Minute) Sum) []CustomerReport {
	var all []CustomerCount
	for m := now - customerMinutes + 1; m <= now; m++ {
		all = mergeCustomers(all, at(m).Customers, Count.Add)
	}
	var reports []CustomerReport
	for _, c := range worst(all, reportCustomers) {
		reports = append(reports, CustomerReport{Customer: c.Customer, Count: c.Count, Burn: c.Count.Burn(target)})
	}
	return reports
}

func series(now Minute, target float64, at func(Minute) Sum) []Point {
	var points []Point
	for from := now - fineMinutes + 1; from+seriesStep <= now+1; from += seriesStep {
		var count Count
		for m := from; m < from+seriesStep; m++ {
			count = count.Add(at(m).Count)
		}
		points = append(points, Point{From: from.Start(), Count: count, Burn: count.Burn(target)})
	}
	return points
}
