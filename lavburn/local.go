package lavburn

import (
	"maps"
	"slices"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// localCounter counts the requests of one objective on this host in one minute, in
// total and by customer.
type localCounter struct {
	count     Count
	customers map[string]Count
}

// localCounts holds this host's counters by minute and objective name.
type localCounts map[Minute]map[string]*localCounter

// record counts one sample for each objective that it matches.
func (l localCounts) record(m Minute, objectives []lavrelease.Objective, s Sample) {
	for _, objective := range objectives {
		if objective.Matches(s.Kind, s.Class) {
			l.countFor(m, objective.Name).add(s.Customer, s.good(objective))
		}
	}
}

// countFor returns the counter of an objective in a minute, creating it if necessary.
func (l localCounts) countFor(m Minute, objective string) *localCounter {
	if l[m] == nil {
		l[m] = make(map[string]*localCounter)
	}
	counter := l[m][objective]
	if counter == nil {
		counter = &localCounter{customers: make(map[string]Count)}
		l[m][objective] = counter
	}
	return counter
}

// add counts one request of a customer. Customers beyond maxLocalCustomers are counted
// as otherCustomers.
func (counter *localCounter) add(customer string, good bool) {
	increment := Count{Total: 1}
	if good {
		increment.Good = 1
	}
	counter.count = counter.count.Add(increment)
	if _, known := counter.customers[customer]; !known && len(counter.customers) >= maxLocalCustomers {
		customer = otherCustomers
	}
	counter.customers[customer] = counter.customers[customer].Add(increment)
}

// cell returns this host's counts of a minute, trimmed to the customer limit.
func (l localCounts) cell(incarnation string, m Minute) Cell {
	c := Cell{Incarnation: incarnation, Minute: m}
	for _, name := range slices.Sorted(maps.Keys(l[m])) {
		counter := l[m][name]
		var customers []CustomerCount
		for customer, count := range counter.customers {
			customers = append(customers, CustomerCount{Customer: customer, Count: count})
		}
		c.Counts = append(c.Counts, ObjectiveCount{Objective: name, Count: counter.count, Customers: worstCustomers(customers, len(customers))})
	}
	c.trimCustomers()
	return c
}
