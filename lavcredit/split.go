package lavcredit

import (
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
)

// Split is a Source in which each host has an equal part of what an endpoint
// bears. It needs no messages, and is kept as the baseline: a part is too
// small for a long prompt, and the parts overlap while hosts come and go.
type Split struct {
	hosts func() int

	mu     sync.Mutex
	taken  map[string]int
	signal signal
}

// splitValidity is how long a credit of a Split may be used to begin work.
const splitValidity = time.Second

// NewSplit returns a source split among hosts().
func NewSplit(hosts func() int) *Split {
	return &Split{hosts: hosts, taken: make(map[string]int), signal: newSignal()}
}

// Take implements Source.
func (s *Split) Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (Credit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > s.room(e) {
		return Credit{}, false
	}
	s.taken[e.Name] += tokens
	return Credit{Endpoint: e.Name, Incarnation: e.Report.Incarnation, Tokens: tokens, Expires: now.Add(splitValidity)}, true
}

// Available implements Source.
func (s *Split) Available(_ time.Time, e *lavendpoint.Endpoint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room(e)
}

func (s *Split) room(e *lavendpoint.Endpoint) int {
	limit, _ := limitOf(e)
	return limit/max(s.hosts(), 1) - s.taken[e.Name]
}

// limitOf returns what an endpoint bears, and whether it is cold.
func limitOf(e *lavendpoint.Endpoint) (limit int, cold bool) {
	if e.Phase == lavendpoint.PhaseReady {
		return e.Report.MemoryTokens, false
	}
	return e.Report.ColdLimit, true
}

// Want implements Source. A fixed split has no more to give.
func (s *Split) Want(time.Time, *lavendpoint.Endpoint, int) {}

// Suspend implements Source. A fixed split has nothing to take back.
func (s *Split) Suspend(time.Time, string) {}

// Return implements Source.
func (s *Split) Return(c Credit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken[c.Endpoint] -= c.Tokens
	s.signal.raise()
}

// Changed implements Source.
func (s *Split) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.signal.changed
}
