package lavfleet

import "github.com/cespare/xxhash/v2"

// unbounded is the share of a service whose endpoints are never cold.
const unbounded = 1 << 30

// coldShare returns how many requests this host may send an endpoint in a
// second. The bound holds for warm endpoints too, since one turns cold without
// a word.
func (f *Fleet) coldShare(svc *service) int {
	if svc.ColdTime <= 0 {
		return unbounded
	}
	return max(f.coldBears(svc)/f.hosts, 1)
}

// coldBears returns how many requests in a second an endpoint bears while it is
// cold.
func (f *Fleet) coldBears(svc *service) int {
	return int(svc.ColdRequestsPerSecond*f.bounds.ColdFactor + f.bounds.ColdSlack)
}

// layOut chooses the endpoints that this host may use. In a fleet of more hosts
// than an endpoint bears requests in a second, each host has one request a second
// for some of the endpoints: those that it is near to. A host that is near to
// none uses the nearest. The caller holds the lock.
func (f *Fleet) layOut() {
	for _, svc := range f.services {
		reach := f.reach(svc)
		for _, s := range svc.endpoints {
			s.near = f.distance(s) < reach
		}
	}
}

// reach returns below which distance from this host an endpoint may be used.
func (f *Fleet) reach(svc *service) int {
	bears := f.coldBears(svc)
	if svc.ColdTime <= 0 || f.hosts <= bears {
		return f.hosts
	}
	nearest := f.hosts
	for _, s := range svc.endpoints {
		nearest = min(nearest, f.distance(s))
	}
	return max(bears, nearest+1)
}

// distance is how far an endpoint is from this host. It differs for each host
// of a fleet that agrees on its places, so that as many hosts are near to an
// endpoint as reach says.
func (f *Fleet) distance(s *state) int {
	start := xxhash.Sum64String(s.ID) % uint64(f.hosts)
	return (f.place + int(start)) % f.hosts
}
