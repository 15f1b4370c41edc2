package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavroute"
)

// inFlight tracks the unfinished assignments of this host, and their sums for
// each endpoint of the current routing table.
type inFlight struct {
	running map[*Assignment]struct{}
	table   *lavroute.RoutingTable
	local   []lavroute.LocalLoad
}

func newInFlight() *inFlight {
	return &inFlight{running: make(map[*Assignment]struct{})}
}

// setTable switches to a new routing table and recomputes the sums for its
// endpoints.
func (f *inFlight) setTable(table *lavroute.RoutingTable) {
	f.table = table
	n := len(table.Snapshot.Endpoints)
	if cap(f.local) < n {
		f.local = make([]lavroute.LocalLoad, n)
	}
	f.local = f.local[:n]
	clear(f.local)
	for a := range f.running {
		f.add(a, 1)
	}
}

// refreshCredits updates the available credit of every endpoint.
func (f *inFlight) refreshCredits(now time.Time, credits lavcredit.Source) {
	endpoints := f.table.Snapshot.Endpoints
	for i := range endpoints {
		if endpoints[i].Service == "" {
			f.local[i].AvailableCredit = credits.Available(now, &endpoints[i])
		}
	}
}

// refreshCredit updates the available credit of one endpoint.
func (f *inFlight) refreshCredit(now time.Time, credits lavcredit.Source, endpoint string) {
	if i := f.table.Index(endpoint); i >= 0 {
		f.local[i].AvailableCredit = credits.Available(now, &f.table.Snapshot.Endpoints[i])
	}
}

// add adds an assignment to the sums, or subtracts it if sign is -1. It skips
// assignments to an earlier incarnation of the endpoint, because their work
// ended when that incarnation did.
func (f *inFlight) add(a *Assignment, sign int) {
	i := f.table.Index(a.Endpoint.Name)
	if i < 0 {
		return
	}
	report := &f.table.Snapshot.Endpoints[i].Report
	if report.Incarnation != a.Endpoint.Report.Incarnation {
		return
	}
	local := &f.local[i]
	local.Requests += sign
	local.Tokens += sign * a.Request().TotalTokens()
	afterReport := a.startedAt.After(report.Taken)
	if afterReport {
		local.RequestsSinceReport += sign
	}
	if a.placement.Alone {
		local.Alone += sign
	}
	if !a.firstTokenAt.IsZero() {
		return
	}
	local.PendingPrefill[a.placement.Lane] += sign * a.Request().PromptTokens
	if afterReport {
		local.PendingPrefillSinceReport += sign * a.Request().PromptTokens
	}
}

// begin starts tracking an assignment.
func (f *inFlight) begin(a *Assignment) {
	f.running[a] = struct{}{}
	f.add(a, 1)
	if i := f.table.Index(a.Endpoint.Name); i >= 0 {
		f.local[i].AvailableCredit -= a.Request().TotalTokens()
	}
}

// end stops tracking an assignment. It is idempotent.
func (f *inFlight) end(a *Assignment) {
	if _, ok := f.running[a]; !ok {
		return
	}
	f.add(a, -1)
	delete(f.running, a)
}

// markPrefilled records that the prefill of an assignment has finished.
func (f *inFlight) markPrefilled(a *Assignment, now time.Time) {
	f.add(a, -1)
	a.firstTokenAt = now
	f.add(a, 1)
}
