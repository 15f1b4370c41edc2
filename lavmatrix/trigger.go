package lavmatrix

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"
)

// backgroundLead is the minimum time between the injection of the background
// fault and that of the cell's own fault.
const backgroundLead = 300 * time.Millisecond

// trigger is the state of the injection of a cell's fault, which happens at most
// once. The lock of the system guards it.
type trigger struct {
	// armed is true while steps are counted and may trigger the fault.
	armed bool
	// fired is true once the fault has been injected.
	fired bool
	cell  Cell
	// notBefore is the earliest time at which the fault may be injected.
	notBefore time.Time
}

// arm injects the background fault of the cell, if there is one, and makes the
// cell's step trigger its fault from now on.
func (s *system) arm(c Cell) {
	s.mu.Lock()
	s.trigger = trigger{armed: true, cell: c, notBefore: time.Now()}
	if c.Background != FaultNone {
		s.trigger.notBefore = s.trigger.notBefore.Add(backgroundLead)
	}
	s.mu.Unlock()
	if c.Background != FaultNone {
		injectors[c.Background](s, s.hosts[0].running(), "")
	}
}

// disarm stops the counting of steps and the injection of faults.
func (s *system) disarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trigger.armed = false
}

// probe is called at each step of each process. It counts the step, injects the
// fault if the step triggers it, and returns an error if the process was killed.
func (s *system) probe(ctx context.Context, step lavstep.Step, peer string) error {
	proc := processOf(ctx)
	if proc != nil {
		if err := proc.blockOrFail(); err != nil {
			return err
		}
	}
	if !s.triggersFault(step) {
		return nil
	}
	fault := s.trigger.cell.Fault
	if proc == nil && fault == FaultProcessDies {
		// The step belongs to the command of an operator, who runs it again.
		return errProcessKilled
	}
	if proc == nil {
		// The step belongs to no host's process: the fault is injected into the
		// first host.
		injectors[fault](s, s.hosts[0].running(), peer)
		return nil
	}
	injectors[fault](s, proc, peer)
	return proc.blockOrFail()
}

// triggersFault counts a step and reports whether it triggers the fault.
func (s *system) triggersFault(step lavstep.Step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.trigger
	if !t.armed {
		return false
	}
	s.reached[step]++
	if t.fired || step != t.cell.Step || t.cell.Fault == FaultNone || time.Now().Before(t.notBefore) {
		return false
	}
	t.fired = true
	return true
}
