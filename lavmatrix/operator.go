package lavmatrix

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// publishedNote is a release note and the verdict that its operator received.
type publishedNote struct {
	id      string
	verdict lavrelease.Verdict
}

// publishOnce tries once to publish a note and records the verdict.
func (s *system) publishOnce(n *lavrelease.Note) lavrelease.Verdict {
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
	defer cancel()
	_, err := lavrelease.Publish(ctx, s.store, n)
	verdict := lavrelease.VerdictOf(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, publishedNote{id: n.ID, verdict: verdict})
	return verdict
}

// publish retries a publication until it is in force. Each try rebuilds the note
// on the current head, as an operator does after a conflict.
func (s *system) publish(build func(base lavrelease.Version) *lavrelease.Note) {
	const tries = 40
	for range tries {
		state, err := lavrelease.Load(s.ctx, s.store)
		if err == nil && s.publishOnce(build(state.Version)) == lavrelease.VerdictInForce {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.recordViolation("an operator could not publish in %d tries", tries)
}

// hostStates returns the current host list. The host named leaving is marked as
// leaving.
func (s *system) hostStates(leaving string) []lavendpoint.HostState {
	var states []lavendpoint.HostState
	for _, h := range s.hostList.Hosts() {
		states = append(states, lavendpoint.HostState{Name: h.Name, Leaving: h.Name == leaving})
	}
	return states
}
