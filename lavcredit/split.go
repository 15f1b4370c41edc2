package lavcredit

import (
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
)

// Split is a Source that gives each host an equal share of an endpoint's limit.
// It needs no messages and serves as a baseline for comparison. A share can be
// too small for a long prompt, and the shares can add up to more than the limit
// while the number of hosts changes.
type Split struct {
	hostCount func() int

	mu     sync.Mutex
	taken  map[string]int
	signal signal
}

// splitCreditTTL is how long work may begin under a credit of a Split.
const splitCreditTTL = time.Second

// NewSplit returns a source that divides each endpoint's limit by hostCount().
func NewSplit(hostCount func() int) *Split {
	return &Split{hostCount: hostCount, taken: make(map[string]int), signal: newSignal()}
}

// Take implements Source.
func (s *Split) Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (Credit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > s.available(e) {
		return Credit{}, false
	}
	s.taken[e.Name] += tokens
	return Credit{Endpoint: e.Name, Incarnation: e.Report.Incarnation, Tokens: tokens, Expires: now.Add(splitCreditTTL)}, true
}

// Available implements Source.
func (s *Split) Available(_ time.Time, e *lavendpoint.Endpoint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available(e)
}

// available is Available for a caller that holds the lock.
func (s *Split) available(e *lavendpoint.Endpoint) int {
	limit, _ := tokenLimit(e)
	return limit/max(s.hostCount(), 1) - s.taken[e.Name]
}

// tokenLimit returns the number of tokens that may run at an endpoint at a time,
// and whether that is the limit of a cold endpoint. The cold limit applies in
// every phase but PhaseReady.
func tokenLimit(e *lavendpoint.Endpoint) (limit int, cold bool) {
	if e.Phase == lavendpoint.PhaseReady {
		return e.Report.MemoryTokens, false
	}
	return e.Report.ColdLimit, true
}

// Want implements Source. It does nothing, since the shares are fixed.
func (s *Split) Want(time.Time, *lavendpoint.Endpoint, int) {}

// Suspend implements Source. It does nothing, since the shares don't depend on
// the endpoint's incarnation.
func (s *Split) Suspend(time.Time, string) {}

// Return implements Source.
func (s *Split) Return(c Credit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken[c.Endpoint] -= c.Tokens
	s.signal.broadcast()
}

// Changed implements Source.
func (s *Split) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.signal.changed
}
