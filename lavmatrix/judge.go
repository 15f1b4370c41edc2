package lavmatrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// lateSlack is the time that a final answer may take to travel.
const lateSlack = 500 * time.Millisecond

// maxCrashes is how many engines a prompt may kill before it is refused.
const maxCrashes = 2

// judge checks the promises from the side of the callers and the stand-ins.
func (s *system) judge() {
	for _, c := range slices.Clone(s.calls) {
		s.judgeCall(c)
	}
	s.judgeOrders()
	s.judgeEngines()
	s.judgeReleases()
	s.judgeService()
}

func (s *system) judgeCall(c *call) {
	name := fmt.Sprintf("%s %.20q", c.path, c.body)
	// A host that is paused can't tell anybody anything.
	paused := s.hosts[c.host].silent.overlaps(c.began, c.began.Add(c.total))
	if c.total > c.timeout+lateSlack && !paused {
		s.breaks("%s at %s ended after %v, allowed were %v: status %d outcome %v error %v", name, entryHost(c.host), c.total, c.timeout, c.status, c.outcome, c.err)
	}
	if c.want == "" || c.status != 200 {
		return
	}
	if !strings.HasPrefix(c.want, c.text) {
		s.breaks("%s got an answer that isn't its own: %.60q", name, c.text)
	}
	if c.outcome == lavrequest.OutcomeDone && c.text != c.want {
		s.breaks("%s was told Done with %d bytes of %d", name, len(c.text), len(c.want))
	}
}

func (s *system) judgeOrders() {
	runs := s.book.Runs()
	for key, n := range runs {
		if n > 1 {
			s.breaks("%s ran %d times", key, n)
		}
	}
	for key, told := range s.orders {
		done := slices.ContainsFunc(told, func(c *call) bool { return c.outcome == lavrequest.OutcomeDone })
		last := told[len(told)-1]
		if done && runs[key] == 0 {
			s.breaks("%s was told Done but never ran", key)
		}
		if last.outcome == lavrequest.OutcomeNotRun && last.status != 0 && runs[key] > 0 {
			s.breaks("%s was told NotRun last, but ran", key)
		}
	}
}

func (s *system) judgeEngines() {
	crashes := 0
	for i, e := range s.engines {
		counts := e.Counts()
		crashes += counts.Crashes
		if n := counts.ColdOverloads - s.unnoticed[i]; n > 0 {
			s.breaks("%s was overloaded %d times while cold", engineHost(i), n)
		}
		if n := e.RunningStreams(); n > 0 {
			s.breaks("%s still holds %d streams", engineHost(i), n)
		}
		if n := e.ReservationCount(); n > 0 {
			s.breaks("%s still holds %d reservations", engineHost(i), n)
		}
	}
	if crashes > maxCrashes {
		s.breaks("one prompt killed %d engines", crashes)
	}
}

func (s *system) judgeReleases() {
	head, err := lavrelease.Load(s.ctx, s.store)
	if err != nil {
		s.breaks("the head can't be read: %v", err)
		return
	}
	for _, h := range s.hosts {
		l := h.now()
		if l == nil {
			s.breaks("%s is dead in the end", h.settings.Host)
			continue
		}
		if have := l.node.Release(); have != head.Version {
			s.breaks("%s has release %d in the end, the head is %d", h.settings.Host, have, head.Version)
		}
	}
	for _, n := range slices.Clone(s.notes) {
		known := head.NoteID == n.id || slices.ContainsFunc(head.Recent, func(p lavrelease.HistoryEntry) bool { return p.ID == n.id })
		if n.verdict == lavrelease.VerdictInForce && !known {
			s.breaks("note %s was told InForce but is not in the history", n.id)
		}
	}
}

// judgeService checks that every host serves again.
func (s *system) judgeService() {
	for i := range s.hosts {
		if c := s.send(newPrompt(fmt.Sprint("afterwards ", i), 100, 6*time.Second), i); !c.answered() {
			s.breaks("%s doesn't serve prompts in the end: status %d %.120s error %v", entryHost(i), c.status, c.text, c.err)
		}
		if c := s.send(newOrder(fmt.Sprint("afterwards ", i)), i); c.outcome != lavrequest.OutcomeDone {
			s.breaks("%s doesn't serve orders in the end: status %d %.120s error %v", entryHost(i), c.status, c.text, c.err)
		}
	}
}

// result sums the run up.
func (s *system) result(c Cell) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Result{Cell: c, Verdict: VerdictKept, Broken: s.broken, Reached: s.reached, Sent: len(s.calls)}
	for _, n := range s.unnoticed {
		r.Unnoticed += n
	}
	for _, made := range s.calls {
		if made.outcome == lavrequest.OutcomeDone && made.total <= made.timeout {
			r.Answered++
		}
	}
	switch {
	case len(s.broken) > 0:
		r.Verdict = VerdictBroken
	case c.Fault != FaultNone && !s.trigger.fired:
		r.Verdict = VerdictNotReached
	}
	return r
}
