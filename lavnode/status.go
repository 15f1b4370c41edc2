package lavnode

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// StatusPath is the path of the status at a host's admin address.
const StatusPath = "/status"

// Status is a host's view of itself and of the fleet.
type Status struct {
	Host          string
	FailureDomain string
	Incarnation   string
	Leaving       bool
	// Version and NoteID identify the release in force on this host. They are
	// zero if no release is in force.
	Version lavrelease.Version
	NoteID  string
	Members []MemberStatus
	// Phases is the number of endpoints in each phase.
	Phases    map[string]int
	Endpoints []EndpointStatus
}

// MemberStatus is a member of the fleet in a host's view.
type MemberStatus struct {
	Host          string
	FailureDomain string
	Incarnation   string
	Entry         netip.AddrPort
	Leaving       bool
}

// EndpointStatus is the state of an endpoint in a host's view.
type EndpointStatus struct {
	Name          string
	Host          string
	FailureDomain string
	// Service is empty for an engine.
	Service string `json:",omitempty"`
	Phase   lavendpoint.Phase
	Cold    bool
	// Cold, Running, RunningTokens and MemoryTokens are from the endpoint's last
	// load report, and Heard is the age of that report. Heard is zero if there is
	// no report.
	Running       int
	RunningTokens int
	MemoryTokens  int
	Heard         lavrelease.Duration
}

// status returns this host's view at the given time.
func (n *Node) status(now time.Time) *Status {
	self, state := n.members.Self(), n.releases.State()
	s := &Status{
		Host:          self.Host,
		FailureDomain: self.FailureDomain,
		Incarnation:   self.Incarnation,
		Leaving:       self.Leaving,
		Version:       state.Version,
		NoteID:        state.NoteID,
		Members:       []MemberStatus{},
		Phases:        make(map[string]int),
		Endpoints:     []EndpointStatus{},
	}
	for _, m := range n.members.View().Members {
		s.Members = append(s.Members, MemberStatus{
			Host: m.Host, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation, Entry: m.Entry, Leaving: m.Leaving,
		})
	}
	snapshot := n.table.Snapshot()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		s.Phases[e.Phase.String()]++
		s.Endpoints = append(s.Endpoints, statusOf(e, now))
	}
	return s
}

func statusOf(e *lavendpoint.Endpoint, now time.Time) EndpointStatus {
	s := EndpointStatus{
		Name:          e.Name,
		Host:          e.Host,
		FailureDomain: e.FailureDomain,
		Service:       e.Service,
		Phase:         e.Phase,
		Cold:          e.Report.Cold,
		Running:       e.Report.Running,
		RunningTokens: e.Report.RunningTokens,
		MemoryTokens:  e.Report.MemoryTokens,
	}
	if !e.Heard.IsZero() {
		s.Heard = lavrelease.Duration(now.Sub(e.Heard).Round(time.Millisecond))
	}
	return s
}

// maxStatusBytes is the maximum size of an encoded status.
const maxStatusBytes = 16 << 20

// FetchStatus fetches the status of the host with the given admin address.
func FetchStatus(ctx context.Context, client *http.Client, admin netip.AddrPort) (*Status, error) {
	return lavjson.Get[*Status](ctx, client, "http://"+admin.String()+StatusPath, maxStatusBytes)
}
