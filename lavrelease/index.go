package lavrelease

import "slices"

// index finds the items of a state by name. A state that was not adopted has
// none and searches its lists.
type index struct {
	customers  map[string]int
	hosts      map[string]int
	services   map[string]int
	outHosts   map[string]bool
	outDomains map[string]bool
}

// indexed returns a copy of s with an index. The lists are shared.
func indexed(s *State) *State {
	x := &index{
		customers:  make(map[string]int, len(s.Customers)),
		hosts:      make(map[string]int, len(s.Hosts)),
		services:   make(map[string]int, len(s.Services)),
		outHosts:   setOf(s.Out.Hosts),
		outDomains: setOf(s.Out.FailureDomains),
	}
	for i, c := range s.Customers {
		for _, hash := range c.Credentials {
			x.customers[hash] = i
		}
	}
	for i, h := range s.Hosts {
		x.hosts[h.Name] = i
	}
	for i, v := range s.Services {
		x.services[v.Name] = i
	}
	next := *s
	next.index = x
	return &next
}

// Customer returns the customer that the credential's hash names.
func (s *State) Customer(hash string) (Customer, bool) {
	if s.index == nil {
		return find(s.Customers, func(c Customer) bool { return slices.Contains(c.Credentials, hash) })
	}
	i, ok := s.index.customers[hash]
	return pick(s.Customers, i, ok)
}

// Host returns the host of that name.
func (s *State) Host(name string) (Host, bool) {
	if s.index == nil {
		return find(s.Hosts, func(h Host) bool { return h.Name == name })
	}
	i, ok := s.index.hosts[name]
	return pick(s.Hosts, i, ok)
}

// Service returns the service of that name.
func (s *State) Service(name string) (Service, bool) {
	if s.index == nil {
		return find(s.Services, func(v Service) bool { return v.Name == name })
	}
	i, ok := s.index.services[name]
	return pick(s.Services, i, ok)
}

// Region returns the region of a failure domain, or "" if it is unknown.
func (s *State) Region(failureDomain string) string {
	d, _ := find(s.FailureDomains, func(d FailureDomain) bool { return d.Name == failureDomain })
	return d.Region
}

// HostOutOfService reports whether a host, or its failure domain, is out of service. A
// host that the release doesn't know is out.
func (s *State) HostOutOfService(name string) bool {
	h, ok := s.Host(name)
	if !ok {
		return true
	}
	if s.index == nil {
		return slices.Contains(s.Out.Hosts, name) || slices.Contains(s.Out.FailureDomains, h.FailureDomain)
	}
	return s.index.outHosts[name] || s.index.outDomains[h.FailureDomain]
}

func find[T any](items []T, holds func(T) bool) (T, bool) {
	i := slices.IndexFunc(items, holds)
	return pick(items, i, i >= 0)
}

func pick[T any](items []T, i int, ok bool) (T, bool) {
	if !ok {
		var none T
		return none, false
	}
	return items[i], true
}
