package lavendpoint

import (
	"net/netip"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Endpoint is the known state of one endpoint at one time.
type Endpoint struct {
	Name          string
	Host          string
	FailureDomain string
	Region        string
	Addr          netip.AddrPort
	// Service names the plain service that the endpoint serves. It is empty for an
	// engine.
	Service string
	Phase   Phase
	// Limit is the maximum number of tokens that the endpoint can process at a time
	// in this phase.
	Limit int
	// Report is the last load report, and Heard the time of the poll that returned
	// it.
	Report lavengine.LoadReport
	Heard  time.Time
}

// Serves reports whether the endpoint is an engine that has loaded the model and,
// if adapter is not empty, the adapter.
func (e *Endpoint) Serves(model, adapter string) bool {
	return e.Service == "" &&
		slices.Contains(e.Report.Models, model) &&
		(adapter == "" || slices.Contains(e.Report.Adapters, adapter))
}

// Snapshot is the state of all endpoints at one time. It is immutable.
type Snapshot struct {
	Release   lavrelease.Version
	Endpoints []Endpoint
	// byName maps names to indexes in Endpoints. It is nil in a snapshot that was
	// not made by NewSnapshot; lookups then scan the slice.
	byName map[string]int
}

// NewSnapshot returns a snapshot with an index by name.
func NewSnapshot(release lavrelease.Version, endpoints []Endpoint) *Snapshot {
	s := &Snapshot{Release: release, Endpoints: endpoints, byName: make(map[string]int, len(endpoints))}
	for i := range endpoints {
		s.byName[endpoints[i].Name] = i
	}
	return s
}

// Index returns the index of the named endpoint, or -1.
func (s *Snapshot) Index(name string) int {
	if s.byName == nil {
		return slices.IndexFunc(s.Endpoints, func(e Endpoint) bool { return e.Name == name })
	}
	if i, ok := s.byName[name]; ok {
		return i
	}
	return -1
}

// Find returns the named endpoint.
func (s *Snapshot) Find(name string) (*Endpoint, bool) {
	i := s.Index(name)
	if i < 0 {
		return nil, false
	}
	return &s.Endpoints[i], true
}
