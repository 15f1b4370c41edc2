package lavconfig

import (
	"cmp"
	"slices"
	"strings"
)

// Index provides the lookups that a request needs in a state. It is immutable.
type Index struct {
	state *State
	// routes contains the routes of each host name, longest prefix first.
	routes    map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
	// priorities are the different priorities of the requests to each service, the most urgent
	// one first.
	priorities map[string][]int
}

// NewIndex returns the index of a state. The state must not be modified
// afterwards.
func NewIndex(s *State) *Index {
	x := &Index{
		state:     s,
		routes:    make(map[string][]*Route),
		services:  make(map[string]*Service, len(s.Services)),
		customers: make(map[string]*Customer),

		priorities: prioritiesByService(s),
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
	}
	for _, routes := range x.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range s.Services {
		x.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Customers {
		for _, key := range s.Customers[i].Credentials {
			x.customers[key] = &s.Customers[i]
		}
	}
	return x
}

// Version returns the version of the state.
func (x *Index) Version() Version { return x.state.Version }

// Limits returns the limits of the state.
func (x *Index) Limits() Limits { return x.state.Limits }

// Route returns the route with the longest prefix that matches path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Services returns all services.
func (x *Index) Services() []Service { return x.state.Services }

// RequiresCredentials reports whether requests need a credential. That is the
// case if the state has any customers.
func (x *Index) RequiresCredentials() bool { return len(x.state.Customers) > 0 }

// Customer returns the customer to whom a credential belongs, or nil.
func (x *Index) Customer(credential string) *Customer { return x.customers[credential] }

// PickService returns a service of the route, chosen by weight. Point selects
// it and must be in [0, 1); a uniformly random point gives each service its
// share.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	remaining := point * total
	for _, w := range r.Split {
		if remaining < w.Weight {
			return w.Service
		}
		remaining -= w.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
