package lavburn

import (
	"cmp"
	"slices"
	"time"
)

// Limits on the size of a cell.
const (
	// maxLocalCustomers limits the customers that a host counts individually
	// per minute and objective. All others are counted under otherCustomers.
	maxLocalCustomers = 1024
	// maxCellCustomers limits the customer entries of a cell, summed over all
	// objectives.
	maxCellCustomers = 16
	// maxCellObjectives limits the objectives in a cell received from a peer.
	maxCellObjectives = 256
	// otherCustomers is the entry for customers beyond maxLocalCustomers.
	otherCustomers = "(other)"
)

// Minute is a wall-clock minute, as the number of minutes since the Unix epoch.
type Minute int64

// minuteOf returns the minute that contains t.
func minuteOf(t time.Time) Minute { return Minute(t.Unix() / 60) }

// Start returns the time at which the minute begins, in UTC.
func (m Minute) Start() time.Time { return time.Unix(int64(m)*60, 0).UTC() }

// CustomerCount is the request count of one customer.
type CustomerCount struct {
	Customer string `cbor:"1,keyasint"`
	Count    Count  `cbor:"2,keyasint"`
}

// ObjectiveCount is the request count of one objective, in total and for the
// customers with the most bad requests.
type ObjectiveCount struct {
	Objective string          `cbor:"1,keyasint"`
	Count     Count           `cbor:"2,keyasint"`
	Customers []CustomerCount `json:",omitempty" cbor:"3,keyasint,omitempty"`
}

// Cell holds the counts of one incarnation of a host, which is one run of its process,
// for one minute. Later versions of the same cell never have smaller counts.
type Cell struct {
	Incarnation string           `cbor:"1,keyasint"`
	Minute      Minute           `cbor:"2,keyasint"`
	Counts      []ObjectiveCount `cbor:"3,keyasint"`
}

// valid reports whether a cell received from a peer is within the size limits.
func (c *Cell) valid() bool {
	if c.Incarnation == "" || len(c.Counts) > maxCellObjectives {
		return false
	}
	return c.customerCount() <= maxCellCustomers
}

// customerCount returns the number of customer entries over all objectives.
func (c *Cell) customerCount() int {
	n := 0
	for _, o := range c.Counts {
		n += len(o.Customers)
	}
	return n
}

// trimCustomers removes customer entries if the cell has more than maxCellCustomers.
// It removes all customers without bad requests, and then those with the fewest bad
// requests, until the cell is within the limit.
func (c *Cell) trimCustomers() {
	if c.customerCount() <= maxCellCustomers {
		return
	}
	var badCounts []uint64
	for _, o := range c.Counts {
		for _, customer := range o.Customers {
			badCounts = append(badCounts, customer.Count.Bad())
		}
	}
	slices.Sort(badCounts)
	minBad := max(badCounts[len(badCounts)-maxCellCustomers], 1)
	remaining := maxCellCustomers
	for i := range c.Counts {
		o := &c.Counts[i]
		o.Customers = slices.DeleteFunc(o.Customers, func(counted CustomerCount) bool { return counted.Count.Bad() < minBad })
		o.Customers = worstCustomers(o.Customers, min(remaining, len(o.Customers)))
		remaining -= len(o.Customers)
	}
}

// worstCustomers returns the n customers with the most bad requests, in descending
// order. Ties are broken by the total number of requests, then by name. It reorders
// the given slice.
func worstCustomers(customers []CustomerCount, n int) []CustomerCount {
	slices.SortFunc(customers, func(a, b CustomerCount) int {
		return cmp.Or(
			cmp.Compare(b.Count.Bad(), a.Count.Bad()),
			cmp.Compare(b.Count.Total, a.Count.Total),
			cmp.Compare(a.Customer, b.Customer))
	})
	return customers[:min(n, len(customers))]
}
