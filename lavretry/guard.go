package lavretry

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavengine"
)

//go:generate stringer -type=Action -trimprefix=Action -output=action_string.go

// Limits of a guard.
const (
	// MaxDeaths is the number of endpoints that may die of one fingerprint.
	MaxDeaths = 2
	// QuarantineDuration is how long a fingerprint that killed MaxDeaths
	// endpoints is refused.
	QuarantineDuration = 24 * time.Hour
	// SuspectDuration is how long a fingerprint with a single death stays
	// suspect.
	SuspectDuration = time.Hour
	// ClearDuration is how long a fingerprint stays cleared after a run has
	// finished successfully.
	ClearDuration = 10 * time.Minute
	// maxFingerprints is the number of fingerprints that a guard keeps.
	maxFingerprints = 1 << 16
	// evictionScanSize is the number of entries that are checked for eviction when a
	// new one is added.
	evictionScanSize = 8
)

// Action says whether and how a run may begin. The actions are ordered from the
// most to the least permissive.
type Action int

// Actions of a guard.
const (
	// ActionGo means that the run may begin.
	ActionGo Action = iota
	// ActionAlone means that the run may begin, but only at an endpoint where no
	// other suspect runs.
	ActionAlone
	// ActionWait means that the run may begin only after another run has ended.
	ActionWait
	// ActionRefuse means that the fingerprint is in quarantine.
	ActionRefuse
)

// Run is one run of a request at one endpoint.
type Run struct {
	// ID is unique for each run.
	ID string
	// Fingerprint is the same for equal requests of any customer.
	Fingerprint uint64
	// Traits describe what the request has in common with others.
	Traits   []lavcrash.Trait
	Endpoint string
	// Until is the time by which the run has certainly ended.
	Until time.Time
}

// Death is the death of an endpoint while a request was in flight there.
type Death struct {
	Fingerprint uint64
	// Traits are those of the run.
	Traits      []lavcrash.Trait `json:",omitempty"`
	Endpoint    string
	Incarnation lavengine.Incarnation
	At          time.Time
	// Count is the number of deaths of the fingerprint, including this one, that
	// the reporting host knows of.
	Count int
}

// Verdict is a guard's decision about a run.
type Verdict struct {
	Action Action
	// Until is when the quarantine ends, for ActionRefuse.
	Until time.Time
}

// Guard limits how many endpoints die of requests with one fingerprint. As far as
// the guard knows, the recorded deaths and the running runs, each of which may
// cause one more death, are together at most MaxDeaths. Two runs of a fingerprint
// never share an endpoint: the second one could reach the endpoint's next
// incarnation, and their deaths could not be told apart. A Guard is not safe for
// concurrent use.
type Guard struct {
	states map[uint64]*fingerprintState
}

// fingerprintState is what a guard knows of one fingerprint.
type fingerprintState struct {
	runs         []Run
	deaths       []Death
	clearedUntil time.Time
}

// NewGuard returns a guard that knows no fingerprints.
func NewGuard() *Guard { return &Guard{states: make(map[uint64]*fingerprintState)} }

// Begin decides whether a run may begin. A run that may begin counts as running
// until End is called or r.Until has passed, unless its fingerprint is cleared.
func (g *Guard) Begin(now time.Time, r Run) Verdict {
	s := g.state(now, r.Fingerprint)
	s.expire(now)
	if until, ok := s.quarantinedUntil(now); ok {
		return Verdict{Action: ActionRefuse, Until: until}
	}
	if now.Before(s.clearedUntil) && len(s.deaths) == 0 {
		return Verdict{Action: ActionGo}
	}
	if !s.hasRun(r.ID) {
		if len(s.deaths)+len(s.runs) >= MaxDeaths || s.runsAt(r.Endpoint) {
			return Verdict{Action: ActionWait}
		}
		s.runs = append(s.runs, r)
	}
	if len(s.deaths) > 0 {
		return Verdict{Action: ActionAlone}
	}
	return Verdict{Action: ActionGo}
}

// End ends a run. If the run finished successfully, its fingerprint is cleared,
// unless it is in quarantine.
func (g *Guard) End(now time.Time, r Run, finished bool) {
	s := g.state(now, r.Fingerprint)
	s.runs = slices.DeleteFunc(s.runs, func(other Run) bool { return other.ID == r.ID })
	if _, ok := s.quarantinedUntil(now); finished && !ok {
		s.clearedUntil = now.Add(ClearDuration)
		s.deaths = nil
	}
}

// RecordDeath records a death and returns the number of recorded deaths. A death
// that is already recorded is not counted again.
func (g *Guard) RecordDeath(now time.Time, d Death) int {
	s := g.state(now, d.Fingerprint)
	s.clearedUntil = time.Time{}
	for _, other := range s.deaths {
		if other.Endpoint == d.Endpoint && other.Incarnation == d.Incarnation {
			return len(s.deaths)
		}
	}
	if len(s.deaths) < MaxDeaths {
		s.deaths = append(s.deaths, d)
	}
	return len(s.deaths)
}

// RecordReportedDeath records a death that another host reports. If that host has
// counted MaxDeaths, it also records an earlier death that this guard may have
// missed.
func (g *Guard) RecordReportedDeath(now time.Time, d Death) {
	if d.Count >= MaxDeaths {
		g.RecordDeath(now, Death{Fingerprint: d.Fingerprint, At: d.At})
	}
	g.RecordDeath(now, d)
}

// Quarantine puts a fingerprint in quarantine because another host has refused
// it. The quarantine ends at until.
func (g *Guard) Quarantine(now time.Time, fingerprint uint64, until time.Time) {
	s := g.state(now, fingerprint)
	s.clearedUntil = time.Time{}
	for len(s.deaths) < MaxDeaths {
		s.deaths = append(s.deaths, Death{Fingerprint: fingerprint, At: until.Add(-QuarantineDuration)})
	}
}

// RestoreDeath records a death that another host reported earlier. It ignores a
// death that is too old to count, or from before the fingerprint was cleared.
func (g *Guard) RestoreDeath(now time.Time, d Death) {
	age := now.Sub(d.At)
	s, ok := g.states[d.Fingerprint]
	switch {
	case ok && s.clearedUntil.Add(-ClearDuration).After(d.At):
	case d.Count >= MaxDeaths && age < QuarantineDuration, age < SuspectDuration:
		g.RecordReportedDeath(now, d)
	}
}

// Check returns the verdict on a fingerprint without beginning a run.
func (g *Guard) Check(now time.Time, fingerprint uint64) Verdict {
	s, ok := g.states[fingerprint]
	if !ok {
		return Verdict{Action: ActionGo}
	}
	s.expire(now)
	if until, ok := s.quarantinedUntil(now); ok {
		return Verdict{Action: ActionRefuse, Until: until}
	}
	if len(s.deaths) > 0 {
		return Verdict{Action: ActionAlone}
	}
	return Verdict{Action: ActionGo}
}

// Len returns the number of fingerprints that the guard keeps.
func (g *Guard) Len() int { return len(g.states) }

// state returns the state of a fingerprint. It adds one if the guard has none,
// after evicting expired entries.
func (g *Guard) state(now time.Time, fingerprint uint64) *fingerprintState {
	s, ok := g.states[fingerprint]
	if !ok {
		g.evict(now)
		s = &fingerprintState{}
		g.states[fingerprint] = s
	}
	return s
}

// evict checks a few entries, in the random order of map iteration, and drops
// those without runs, deaths or clearance. If the guard is full it also drops an
// entry without deaths, or any entry if all have deaths.
func (g *Guard) evict(now time.Time) {
	full := len(g.states) >= maxFingerprints
	var deathless, last uint64
	found, checked := false, 0
	for fingerprint, s := range g.states {
		s.expire(now)
		last = fingerprint
		if len(s.runs) == 0 && len(s.deaths) == 0 && !now.Before(s.clearedUntil) {
			delete(g.states, fingerprint)
			full = false
		} else if len(s.deaths) == 0 {
			deathless, found = fingerprint, true
		}
		if checked++; checked >= evictionScanSize && (found || !full) {
			break
		}
	}
	if full && found {
		delete(g.states, deathless)
	} else if full {
		delete(g.states, last)
	}
}

// expire drops the runs that have certainly ended and the deaths that are too old
// to count.
func (s *fingerprintState) expire(now time.Time) {
	s.runs = slices.DeleteFunc(s.runs, func(r Run) bool { return now.After(r.Until) })
	if len(s.deaths) == 0 {
		return
	}
	maxAge := SuspectDuration
	if len(s.deaths) >= MaxDeaths {
		maxAge = QuarantineDuration
	}
	if now.Sub(s.deaths[len(s.deaths)-1].At) >= maxAge {
		s.deaths = nil
	}
}

// quarantinedUntil returns when the quarantine ends, and whether the fingerprint
// is in quarantine at now.
func (s *fingerprintState) quarantinedUntil(now time.Time) (time.Time, bool) {
	if len(s.deaths) < MaxDeaths {
		return time.Time{}, false
	}
	until := s.deaths[len(s.deaths)-1].At.Add(QuarantineDuration)
	return until, now.Before(until)
}

func (s *fingerprintState) hasRun(id string) bool {
	return slices.ContainsFunc(s.runs, func(r Run) bool { return r.ID == id })
}

func (s *fingerprintState) runsAt(endpoint string) bool {
	return slices.ContainsFunc(s.runs, func(r Run) bool { return r.Endpoint == endpoint })
}
