package lavmatrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// deliverySlack is how long after its deadline a call may end, since the final
// answer has to cross the network.
const deliverySlack = 500 * time.Millisecond

// maxEngineCrashes is the number of engines that one prompt may crash before the
// system has to refuse it.
const maxEngineCrashes = 2

// checkGuarantees checks the guarantees after the workload has ended, from the
// results of the callers and the counters of the fake engines and order
// servers.
func (s *system) checkGuarantees() {
	for _, c := range slices.Clone(s.calls) {
		s.checkCall(c)
	}
	s.checkOrders()
	s.checkEngines()
	s.checkReleases()
	s.checkService()
}

// checkCall checks that a call ended within its deadline, unless its host was
// paused. It also checks that the answer belongs to the call, and that it is
// complete if the outcome is Done.
func (s *system) checkCall(c *call) {
	name := fmt.Sprintf("%s %.20q", c.path, c.body)
	// A paused host can't answer in time.
	paused := s.hosts[c.host].pausedDuring.overlaps(c.began, c.began.Add(c.elapsed))
	if c.elapsed > c.timeout+deliverySlack && !paused {
		s.recordViolation("%s at %s ended after %v, allowed were %v: status %d outcome %v error %v", name, entryHost(c.host), c.elapsed, c.timeout, c.status, c.outcome, c.err)
	}
	if c.wantText == "" || c.status != 200 {
		return
	}
	if !strings.HasPrefix(c.wantText, c.text) {
		s.recordViolation("%s got an answer that isn't its own: %.60q", name, c.text)
	}
	if c.outcome == lavrequest.OutcomeDone && c.text != c.wantText {
		s.recordViolation("%s was told Done with %d bytes of %d", name, len(c.text), len(c.wantText))
	}
}

// checkOrders checks that no order ran more than once and that the outcomes that
// callers received agree with the runs that the order servers counted.
func (s *system) checkOrders() {
	runs := s.orderBook.Runs()
	for key, n := range runs {
		if n > 1 {
			s.recordViolation("%s ran %d times", key, n)
		}
	}
	for key, attempts := range s.orders {
		done := slices.ContainsFunc(attempts, func(c *call) bool { return c.outcome == lavrequest.OutcomeDone })
		last := attempts[len(attempts)-1]
		if done && runs[key] == 0 {
			s.recordViolation("%s was told Done but never ran", key)
		}
		if last.outcome == lavrequest.OutcomeNotRun && last.status != 0 && runs[key] > 0 {
			s.recordViolation("%s was told NotRun last, but ran", key)
		}
	}
}

// checkEngines checks that cold engines were not overloaded, that engines hold
// no streams or reservations, and that the crashing prompt was refused in time.
func (s *system) checkEngines() {
	crashes := 0
	for i, e := range s.engines {
		counts := e.Counts()
		crashes += counts.Crashes
		if n := counts.ColdOverloads - s.unavoidableOverloads[i]; n > 0 {
			s.recordViolation("%s was overloaded %d times while cold", engineHost(i), n)
		}
		if n := e.RunningStreams(); n > 0 {
			s.recordViolation("%s still holds %d streams", engineHost(i), n)
		}
		if n := e.ReservationCount(); n > 0 {
			s.recordViolation("%s still holds %d reservations", engineHost(i), n)
		}
	}
	if crashes > maxEngineCrashes {
		s.recordViolation("one prompt killed %d engines", crashes)
	}
}

// checkReleases checks that every host has the release of the head and that all
// notes reported as in force are in the history.
func (s *system) checkReleases() {
	head, err := lavrelease.Load(s.ctx, s.store)
	if err != nil {
		s.recordViolation("the head can't be read: %v", err)
		return
	}
	for _, h := range s.hosts {
		proc := h.running()
		if proc == nil {
			s.recordViolation("%s is dead in the end", h.settings.Host)
			continue
		}
		if current := proc.node.Release(); current != head.Version {
			s.recordViolation("%s has release %d in the end, the head is %d", h.settings.Host, current, head.Version)
		}
	}
	for _, n := range slices.Clone(s.notes) {
		known := head.NoteID == n.id || slices.ContainsFunc(head.Recent, func(p lavrelease.HistoryEntry) bool { return p.ID == n.id })
		if n.verdict == lavrelease.VerdictInForce && !known {
			s.recordViolation("note %s was told InForce but is not in the history", n.id)
		}
	}
}

// checkService checks that every host serves prompts and orders after the
// faults have ended.
func (s *system) checkService() {
	for i := range s.hosts {
		if c := s.send(newPrompt(fmt.Sprint("afterwards ", i), 100, 6*time.Second), i); !c.answered() {
			s.recordViolation("%s doesn't serve prompts in the end: status %d %.120s error %v", entryHost(i), c.status, c.text, c.err)
		}
		if c := s.send(newOrder(fmt.Sprint("afterwards ", i)), i); c.outcome != lavrequest.OutcomeDone {
			s.recordViolation("%s doesn't serve orders in the end: status %d %.120s error %v", entryHost(i), c.status, c.text, c.err)
		}
	}
}

// result builds the Result of the run.
func (s *system) result(c Cell) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Result{Cell: c, Verdict: VerdictKept, Broken: s.violations, Reached: s.reached, Sent: len(s.calls)}
	for _, n := range s.unavoidableOverloads {
		r.UnavoidableOverloads += n
	}
	for _, sent := range s.calls {
		if sent.outcome == lavrequest.OutcomeDone && sent.elapsed <= sent.timeout {
			r.Answered++
		}
	}
	switch {
	case len(s.violations) > 0:
		r.Verdict = VerdictBroken
	case c.Fault != FaultNone && !s.trigger.fired:
		r.Verdict = VerdictNotReached
	}
	return r
}
