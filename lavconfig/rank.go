package lavconfig

import "slices"

// Rank is how urgent a request is among those to the same service.
type Rank struct {
	// Level is 0 for the most urgent requests.
	Level int
	// Count is the number of levels at the service. Ranks decide nothing if there is only one.
	Count int
}

// Rank returns the rank of a request to a service. The priority of the customer, who may be nil,
// overrides that of the route.
func (x *Index) Rank(service string, r *Route, c *Customer) Rank {
	priorities := x.priorities[service]
	level, _ := slices.BinarySearch(priorities, priority(r, c))
	return Rank{Level: level, Count: len(priorities)}
}

// priority returns the priority of a customer's requests on a route. The customer may be nil.
func priority(r *Route, c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}

// prioritiesByService returns the different priorities that requests to each service may have, in
// ascending order.
func prioritiesByService(s *State) map[string][]int {
	priorities := make(map[string][]int)
	for i := range s.Routes {
		r := &s.Routes[i]
		possible := routePriorities(r, s.Customers)
		for _, w := range r.Split {
			priorities[w.Service] = append(priorities[w.Service], possible...)
		}
	}
	for service, all := range priorities {
		slices.Sort(all)
		priorities[service] = slices.Compact(all)
	}
	return priorities
}

// routePriorities returns the priorities that requests on a route may have.
func routePriorities(r *Route, customers []Customer) []int {
	var possible []int
	if r.Public || len(customers) == 0 {
		possible = append(possible, r.Priority)
	}
	for i := range customers {
		possible = append(possible, priority(r, &customers[i]))
	}
	return possible
}
