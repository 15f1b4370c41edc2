package lavcause

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Table adds up the lines of requests by route and cause. Its zero value is empty.
type Table struct {
	routes map[string]*routeCounts
}

type routeCounts struct {
	verdicts [verdictCount]int
	misses   map[missKey][]time.Duration
}

// missKey is what and why requests of a route missed.
type missKey struct {
	verdict Verdict
	cause   Cause
}

// Add counts a line.
func (t *Table) Add(l Line) {
	if t.routes == nil {
		t.routes = make(map[string]*routeCounts)
	}
	counts := t.routes[l.Route]
	if counts == nil {
		counts = &routeCounts{misses: make(map[missKey][]time.Duration)}
		t.routes[l.Route] = counts
	}
	counts.verdicts[l.Verdict]++
	if l.Cause != CauseNone {
		key := missKey{l.Verdict, l.Cause}
		counts.misses[key] = append(counts.misses[key], l.lateness())
	}
}

// RouteRow is what became of the requests of a route.
type RouteRow struct {
	Route                                           string
	Asked, InTime, LateAnswers, LongPauses, Refused int
	Failed, Left, Unknown                           int
	// Misses begins with the most frequent one.
	Misses []MissRow
}

// MissRow is the requests that missed something for a cause.
type MissRow struct {
	Verdict  Verdict
	Cause    Cause
	Requests int
	// MedianMs and P95Ms say how late the requests were, in milliseconds. They are zero for those
	// without an answer.
	MedianMs, P95Ms float64
}

// Rows returns the rows in the order of the routes' names.
func (t *Table) Rows() []RouteRow {
	var rows []RouteRow
	for _, route := range slices.Sorted(maps.Keys(t.routes)) {
		rows = append(rows, t.routes[route].row(route))
	}
	return rows
}

func (c *routeCounts) row(route string) RouteRow {
	row := RouteRow{
		Route:       route,
		InTime:      c.verdicts[VerdictInTime],
		LateAnswers: c.verdicts[VerdictLateAnswer],
		LongPauses:  c.verdicts[VerdictLongPause],
		Refused:     c.verdicts[VerdictRefused],
		Failed:      c.verdicts[VerdictFailed],
		Left:        c.verdicts[VerdictLeft],
		Unknown:     c.verdicts[VerdictUnknown],
	}
	for _, n := range c.verdicts {
		row.Asked += n
	}
	for key, late := range c.misses {
		slices.Sort(late)
		row.Misses = append(row.Misses, MissRow{
			Verdict:  key.verdict,
			Cause:    key.cause,
			Requests: len(late),
			MedianMs: milliseconds(percentile(late, 50)),
			P95Ms:    milliseconds(percentile(late, 95)),
		})
	}
	slices.SortFunc(row.Misses, compareMisses)
	return row
}

func compareMisses(a, b MissRow) int {
	return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Cause, b.Cause))
}

// percentile returns the smallest value that p percent of the sorted values don't exceed.
func percentile(sorted []time.Duration, p int) time.Duration {
	return sorted[(len(sorted)*p+99)/100-1]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteText writes one line for each route and, after them, one for each cause.
func (t *Table) WriteText(w io.Writer) error {
	rows := t.Rows()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Route\tAsked\tIn time\tLate\tLong pause\tRefused\tFailed\tLeft\tUnknown")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			r.Route, r.Asked, r.InTime, r.LateAnswers, r.LongPauses, r.Refused, r.Failed, r.Left, r.Unknown)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	_, _ = fmt.Fprintln(table, "Route\tMissed\tCause\tRequests\tMedian late\tp95 late")
	for _, r := range rows {
		for _, m := range r.Misses {
			_, _ = fmt.Fprintf(table, "%s\t%v\t%v\t%d\t%s\t%s\n",
				r.Route, m.Verdict, m.Cause, m.Requests, formatLateness(m.MedianMs), formatLateness(m.P95Ms))
		}
	}
	return table.Flush()
}

func formatLateness(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", ms)
}
