package lavrelease

import "slices"

// index maps the names of a state's items, and the hashes of credentials, to
// positions in the state's lists. A state that was not adopted by a Follower has
// no index, and its lookups scan the lists.
type index struct {
	customers        map[string]int
	hosts            map[string]int
	services         map[string]int
	withdrawnHosts   map[string]bool
	withdrawnDomains map[string]bool
}

// withIndex returns a copy of s that has an index. The copy shares the lists of
// s.
func withIndex(s *State) *State {
	idx := &index{
		customers:        make(map[string]int, len(s.Customers)),
		hosts:            make(map[string]int, len(s.Hosts)),
		services:         make(map[string]int, len(s.Services)),
		withdrawnHosts:   setOf(s.Out.Hosts),
		withdrawnDomains: setOf(s.Out.FailureDomains),
	}
	for i, c := range s.Customers {
		for _, hash := range c.Credentials {
			idx.customers[hash] = i
		}
	}
	for i, h := range s.Hosts {
		idx.hosts[h.Name] = i
	}
	for i, v := range s.Services {
		idx.services[v.Name] = i
	}
	next := *s
	next.index = idx
	return &next
}

// Customer returns the customer whose Credentials contain the given hash.
func (s *State) Customer(hash string) (Customer, bool) {
	if s.index == nil {
		return find(s.Customers, func(c Customer) bool { return slices.Contains(c.Credentials, hash) })
	}
	i, ok := s.index.customers[hash]
	return itemAt(s.Customers, i, ok)
}

// Host returns the host with the given name.
func (s *State) Host(name string) (Host, bool) {
	if s.index == nil {
		return find(s.Hosts, func(h Host) bool { return h.Name == name })
	}
	i, ok := s.index.hosts[name]
	return itemAt(s.Hosts, i, ok)
}

// Service returns the service with the given name.
func (s *State) Service(name string) (Service, bool) {
	if s.index == nil {
		return find(s.Services, func(v Service) bool { return v.Name == name })
	}
	i, ok := s.index.services[name]
	return itemAt(s.Services, i, ok)
}

// Region returns the region of a failure domain, or "" if the failure domain is
// unknown.
func (s *State) Region(failureDomain string) string {
	d, _ := find(s.FailureDomains, func(d FailureDomain) bool { return d.Name == failureDomain })
	return d.Region
}

// HostOutOfService reports whether a host or its failure domain is withdrawn
// from service. It returns true for a host that the state does not contain.
func (s *State) HostOutOfService(name string) bool {
	h, ok := s.Host(name)
	if !ok {
		return true
	}
	if s.index == nil {
		return slices.Contains(s.Out.Hosts, name) || slices.Contains(s.Out.FailureDomains, h.FailureDomain)
	}
	return s.index.withdrawnHosts[name] || s.index.withdrawnDomains[h.FailureDomain]
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(items, match)
	return itemAt(items, i, i >= 0)
}

func itemAt[T any](items []T, i int, ok bool) (T, bool) {
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}
