package lavconfig

import (
	"cmp"
	"slices"
	"strings"
)

// Index finds what a request needs in a state. It is immutable.
type Index struct {
	state *State
	// routes holds each host name's routes, the longest prefix first.
	routes    map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
}

// NewIndex returns the index of a state. The state must not change after.
func NewIndex(s *State) *Index {
	x := &Index{
		state:     s,
		routes:    make(map[string][]*Route),
		services:  make(map[string]*Service, len(s.Services)),
		customers: make(map[string]*Customer),
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

// Route returns the route with the longest prefix that begins path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Services returns all services.
func (x *Index) Services() []Service { return x.state.Services }

// RequiresCredentials reports whether requests need a credential at all.
func (x *Index) RequiresCredentials() bool { return len(x.state.Customers) > 0 }

// Customer returns the customer whom a credential names, or nil.
func (x *Index) Customer(credential string) *Customer { return x.customers[credential] }

// PickService returns the service of a route's split that holds point, which lies
// from 0 up to 1.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	rest := point * total
	for _, w := range r.Split {
		if rest < w.Weight {
			return w.Service
		}
		rest -= w.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
