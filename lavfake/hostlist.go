package lavfake

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
)

// HostList is a fake of the platform's list of hosts. Changes become visible
// after a configurable lag.
type HostList struct {
	lag time.Duration

	mu    sync.Mutex
	lists []delayedList
}

type delayedList struct {
	hosts     []lavendpoint.HostState
	visibleAt time.Time
}

// NewHostList returns an empty list whose changes are visible at once.
func NewHostList() *HostList { return NewLaggingHostList(0) }

// NewLaggingHostList returns an empty list whose changes become visible after
// lag.
func NewLaggingHostList(lag time.Duration) *HostList { return &HostList{lag: lag} }

// Set replaces the list.
func (h *HostList) Set(hosts ...lavendpoint.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, delayedList{hosts: slices.Clone(hosts), visibleAt: time.Now().Add(h.lag)})
}

// Hosts returns the list that is currently visible.
func (h *HostList) Hosts() []lavendpoint.HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for len(h.lists) > 1 && !h.lists[1].visibleAt.After(now) {
		h.lists = h.lists[1:]
	}
	if len(h.lists) == 0 || h.lists[0].visibleAt.After(now) {
		return nil
	}
	return h.lists[0].hosts
}

// ServeHTTP responds with the currently visible list as JSON.
func (h *HostList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.Hosts())
}
