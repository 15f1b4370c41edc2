package lavburn

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// Limits and resolution of a report.
const (
	maxReportCustomers = 20
	seriesStepMinutes  = 5
)

// Report holds the burn rates of all objectives at a point in time.
type Report struct {
	Taken time.Time
	// Hosts is the number of incarnations with counts in minutes that are not yet
	// folded.
	Hosts int
	// Dropped counts messages, cells and sums from peers that were dropped because
	// they arrived too late or exceeded a limit.
	Dropped    uint64
	Objectives []ObjectiveReport
}

// ObjectiveReport holds the burn rates of one objective.
type ObjectiveReport struct {
	Name       string
	Kind       string
	Class      string
	FirstToken lavrelease.Duration
	Target     float64
	Alert      Alert
	// BudgetLeft is the remaining share of the error budget of the longest window.
	// It is negative if the budget is exceeded.
	BudgetLeft float64
	Windows    []WindowReport
	// Customers lists the customers with the most bad requests in the last hour.
	Customers []CustomerReport
	// Series holds the burn rate over the retention of the fine buckets, oldest
	// point first.
	Series []Point
}

// WindowReport holds the burn rate over one window.
type WindowReport struct {
	Window lavrelease.Duration
	Count  Count
	Burn   float64
}

// CustomerReport holds the burn rate of one customer over the last hour.
type CustomerReport struct {
	Customer string
	Count    Count
	Burn     float64
}

// Point holds the burn rate over seriesStepMinutes, beginning at From.
type Point struct {
	From  time.Time
	Count Count
	Burn  float64
}

// Report returns the burn rates of the fleet, computed from the counts that this host
// has recorded and received so far.
func (t *Tracker) Report(now time.Time) *Report {
	objectives := t.objectives()
	t.mu.Lock()
	defer t.mu.Unlock()
	minute := minuteOf(now)
	t.fold(minute)
	r := &Report{Taken: now.UTC(), Hosts: t.countHosts(), Dropped: t.dropped}
	unfolded := t.unfoldedSums(minute)
	for _, o := range objectives {
		r.Objectives = append(r.Objectives, t.objectiveReport(minute, unfolded, o))
	}
	slices.SortStableFunc(r.Objectives, func(x, y ObjectiveReport) int { return cmp.Compare(y.Alert, x.Alert) })
	return r
}

// countHosts returns the number of incarnations, this host included, that have cells
// which are not yet folded. The caller must hold t.mu.
func (t *Tracker) countHosts() int {
	seen := make(map[string]bool)
	if len(t.local) > 0 {
		seen[t.incarnation] = true
	}
	for key := range t.cells {
		seen[key.incarnation] = true
	}
	return len(seen)
}

// unfoldedSums returns the counts of the minutes that are not yet folded, summed over all
// hosts. The caller must hold t.mu.
func (t *Tracker) unfoldedSums(now Minute) map[bucketKey]Sum {
	sums := make(map[bucketKey]Sum)
	for m := now - foldAgeMinutes; m <= now+1; m++ {
		for objective, s := range t.sumCells(m) {
			sums[bucketKey{minute: m, objective: objective}] = s
		}
	}
	return sums
}

// objectiveReport computes the report of one objective from the history and the sums
// of unfolded minutes. Where both have counts for a minute, it uses the maximum. The
// caller must hold t.mu.
func (t *Tracker) objectiveReport(now Minute, unfolded map[bucketKey]Sum, o lavrelease.Objective) ObjectiveReport {
	sumAt := func(m Minute) Sum {
		key := bucketKey{minute: m, objective: o.Name}
		folded, open := t.history.fine[key], unfolded[key]
		folded.Count = folded.Count.Max(open.Count)
		folded.Customers = mergeCustomers(folded.Customers, open.Customers, Count.Max)
		return folded
	}
	r := ObjectiveReport{Name: o.Name, Kind: o.Kind, Class: o.ClassName(), FirstToken: o.FirstToken, Target: o.Target}
	burnRates := make(map[time.Duration]float64)
	for _, w := range windows {
		count := t.countOver(now, w, o.Name, sumAt)
		burnRates[w] = count.BurnRate(o.Target)
		r.Windows = append(r.Windows, WindowReport{Window: lavrelease.Duration(w), Count: count, Burn: burnRates[w]})
	}
	r.Alert = alertOf(func(w time.Duration) float64 { return burnRates[w] })
	r.BudgetLeft = 1 - burnRates[windows[len(windows)-1]]
	r.Customers = customerReports(now, o.Target, sumAt)
	r.Series = burnSeries(now, o.Target, sumAt)
	return r
}

// countOver returns the count of an objective over a window. For windows longer than
// the retention of the fine buckets, it uses coarse buckets for the older part. The
// caller must hold t.mu.
func (t *Tracker) countOver(now Minute, window time.Duration, objective string, sumAt func(Minute) Sum) Count {
	minutes := Minute(window / time.Minute)
	var count Count
	fineFrom := now - min(minutes, fineSpanMinutes) + 1
	if minutes > fineSpanMinutes {
		fineFrom -= fineFrom % coarseBucketMinutes
		for m := fineFrom - coarseBucketMinutes; m > now-minutes; m -= coarseBucketMinutes {
			count = count.Add(t.history.coarse[bucketKey{minute: m, objective: objective}])
		}
	}
	for m := fineFrom; m <= now; m++ {
		count = count.Add(sumAt(m).Count)
	}
	return count
}

// customerReports returns the reports of the customers with the most bad requests over
// the last customerSpanMinutes.
func customerReports(now Minute, target float64, sumAt func(Minute) Sum) []CustomerReport {
	var all []CustomerCount
	for m := now - customerSpanMinutes + 1; m <= now; m++ {
		all = mergeCustomers(all, sumAt(m).Customers, Count.Add)
	}
	var reports []CustomerReport
	for _, c := range worstCustomers(all, maxReportCustomers) {
		reports = append(reports, CustomerReport{Customer: c.Customer, Count: c.Count, Burn: c.Count.BurnRate(target)})
	}
	return reports
}

// burnSeries returns the burn rate in steps of seriesStepMinutes over the retention of
// the fine buckets.
func burnSeries(now Minute, target float64, sumAt func(Minute) Sum) []Point {
	var points []Point
	for from := now - fineSpanMinutes + 1; from+seriesStepMinutes <= now+1; from += seriesStepMinutes {
		var count Count
		for m := from; m < from+seriesStepMinutes; m++ {
			count = count.Add(sumAt(m).Count)
		}
		points = append(points, Point{From: from.Start(), Count: count, Burn: count.BurnRate(target)})
	}
	return points
}
