package lavfleet

import "github.com/cespare/xxhash/v2"

// unlimited is the limit for a service whose endpoints have no cold phase.
const unlimited = 1 << 30

// hostLimit returns how many requests per second this host may send to an endpoint. The
// limit also applies to warm endpoints, because an endpoint becomes cold without notice.
func (f *Fleet) hostLimit(svc *service) int {
	if svc.ColdTime <= 0 {
		return unlimited
	}
	return max(f.coldLimit(svc)/f.hosts, 1)
}

// coldLimit returns how many requests per second a cold endpoint accepts from all hosts
// together.
func (f *Fleet) coldLimit(svc *service) int {
	return int(svc.ColdRequestsPerSecond*f.bounds.ColdFactor + f.bounds.ColdSlack)
}

// assignEndpoints selects the endpoints that this host may use. If there are more hosts
// than a cold endpoint accepts requests per second, a host can have a share of one
// request per second only on some endpoints: those within assignedRange. A host without
// any uses the nearest one. The caller holds the lock.
func (f *Fleet) assignEndpoints() {
	for _, svc := range f.services {
		assignedRange := f.assignedRange(svc)
		for _, s := range svc.endpoints {
			s.assigned = f.distance(s) < assignedRange
		}
	}
}

// assignedRange returns the distance from this host below which endpoints are assigned.
func (f *Fleet) assignedRange(svc *service) int {
	limit := f.coldLimit(svc)
	if svc.ColdTime <= 0 || f.hosts <= limit {
		return f.hosts
	}
	nearest := f.hosts
	for _, s := range svc.endpoints {
		nearest = min(nearest, f.distance(s))
	}
	return max(limit, nearest+1)
}

// distance returns the distance of an endpoint from this host, in [0, hosts). For one
// endpoint it differs between all hosts that agree on their indexes. The number of hosts
// within a range of n is therefore n for every endpoint.
func (f *Fleet) distance(s *endpointState) int {
	offset := xxhash.Sum64String(s.ID) % uint64(f.hosts)
	return (f.index + int(offset)) % f.hosts
}
