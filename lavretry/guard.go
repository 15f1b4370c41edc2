package lavretry

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

//go:generate stringer -type=Action -trimprefix=Action -output=action_string.go

// Bounds of a guard.
const (
	// MaxDeaths is the number of endpoints that may die of one fingerprint.
	MaxDeaths = 2
	// QuarantineTime is how long a fingerprint that killed MaxDeaths endpoints
	// is refused.
	QuarantineTime = 24 * time.Hour
	// SuspectTime is how long a single death is remembered, and ClearTime how
	// long a good end is.
	SuspectTime = time.Hour
	ClearTime   = 10 * time.Minute
	// maxFingerprints bounds the memory of a guard.
	maxFingerprints = 1 << 16
	// forgetStep is how many entries each new one looks at for forgetting.
	forgetStep = 8
)

// Action is what a guard allows a run.
type Action int

// The actions.
const (
	// ActionGo means that the run may begin.
	ActionGo Action = iota
	// ActionAlone means that it may begin where no other suspect runs.
	ActionAlone
	// ActionWait means that it may begin once another run has ended.
	ActionWait
	// ActionRefuse means that the fingerprint is in quarantine.
	ActionRefuse
)

// Run is one run of a request at one endpoint.
type Run struct {
	// ID differs for each run.
	ID          string
	Fingerprint uint64
	Endpoint    string
	// Until is when the run has ended for certain.
	Until time.Time
}

// Death is the death of an endpoint with a request in flight.
type Death struct {
	Fingerprint uint64
	Endpoint    string
	Incarnation lavengine.Incarnation
	At          time.Time
	// Count is the number of deaths of the fingerprint with this one, as far
	// as its teller knows.
	Count int
}

// Verdict is a guard's answer.
type Verdict struct {
	Action Action
	// Until is when a quarantine ends.
	Until time.Time
}

// Guard bounds the endpoints that die of one fingerprint. At any time the
// endpoints that it has killed and its runs, each of which may kill one, are at
// most MaxDeaths, as far as the guard has been told. No two runs are at one
// endpoint: the second might meet its next life, and nobody could tell their
// deaths apart. It is not safe for concurrent use.
type Guard struct {
	known map[uint64]*suspicion
}

// suspicion is what is known of one fingerprint.
type suspicion struct {
	runs    []Run
	deaths  []Death
	cleared time.Time
}

// NewGuard returns a guard that knows nothing.
func NewGuard() *Guard { return &Guard{known: make(map[uint64]*suspicion)} }

// Begin asks whether a run may begin; if so it counts until End.
func (g *Guard) Begin(now time.Time, r Run) Verdict {
	s := g.suspicion(now, r.Fingerprint)
	s.expire(now)
	if until, ok := s.quarantined(now); ok {
		return Verdict{Action: ActionRefuse, Until: until}
	}
	if now.Before(s.cleared) && len(s.deaths) == 0 {
		return Verdict{Action: ActionGo}
	}
	if !s.has(r.ID) {
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

// End ends a run. A run that finished well clears its fingerprint.
func (g *Guard) End(now time.Time, r Run, finished bool) {
	s := g.suspicion(now, r.Fingerprint)
	s.runs = slices.DeleteFunc(s.runs, func(have Run) bool { return have.ID == r.ID })
	if _, ok := s.quarantined(now); finished && !ok {
		s.cleared = now.Add(ClearTime)
		s.deaths = nil
	}
}

// RecordDeath records a death and returns how many are known. The same death told
// twice counts once.
func (g *Guard) RecordDeath(now time.Time, d Death) int {
	s := g.suspicion(now, d.Fingerprint)
	s.cleared = time.Time{}
	for _, have := range s.deaths {
		if have.Endpoint == d.Endpoint && have.Incarnation == d.Incarnation {
			return len(s.deaths)
		}
	}
	if len(s.deaths) < MaxDeaths {
		s.deaths = append(s.deaths, d)
	}
	return len(s.deaths)
}

// Hear records a death that another host has told, and that there was one before
// it if the teller knows of more than this guard.
func (g *Guard) Hear(now time.Time, d Death) {
	if d.Count >= MaxDeaths {
		g.RecordDeath(now, Death{Fingerprint: d.Fingerprint, At: d.At})
	}
	g.RecordDeath(now, d)
}

// Quarantine refuses a fingerprint until then, on the word of another host.
func (g *Guard) Quarantine(now time.Time, fingerprint uint64, until time.Time) {
	s := g.suspicion(now, fingerprint)
	s.cleared = time.Time{}
	for len(s.deaths) < MaxDeaths {
		s.deaths = append(s.deaths, Death{Fingerprint: fingerprint, At: until.Add(-QuarantineTime)})
	}
}

// Remember records a death that was told at some time before now, unless it is
// too old to count or the fingerprint has been cleared since.
func (g *Guard) Remember(now time.Time, d Death) {
	age := now.Sub(d.At)
	s, ok := g.known[d.Fingerprint]
	switch {
	case ok && s.cleared.Add(-ClearTime).After(d.At):
	case d.Count >= MaxDeaths && age < QuarantineTime, age < SuspectTime:
		g.Hear(now, d)
	}
}

// Check returns the verdict on a fingerprint without beginning a run.
func (g *Guard) Check(now time.Time, fingerprint uint64) Verdict {
	s, ok := g.known[fingerprint]
	if !ok {
		return Verdict{Action: ActionGo}
	}
	s.expire(now)
	if until, ok := s.quarantined(now); ok {
		return Verdict{Action: ActionRefuse, Until: until}
	}
	if len(s.deaths) > 0 {
		return Verdict{Action: ActionAlone}
	}
	return Verdict{Action: ActionGo}
}

// Len returns the number of fingerprints known.
func (g *Guard) Len() int { return len(g.known) }

// suspicion returns the entry of a fingerprint, and forgets what is idle.
func (g *Guard) suspicion(now time.Time, fingerprint uint64) *suspicion {
	s, ok := g.known[fingerprint]
	if !ok {
		g.forget(now)
		s = &suspicion{}
		g.known[fingerprint] = s
	}
	return s
}

// forget looks at a few entries, in the random order of maps, and drops those
// that say nothing any more. A full guard drops one without deaths, or any one
// if all have killed.
func (g *Guard) forget(now time.Time) {
	full := len(g.known) >= maxFingerprints
	var idle, last uint64
	found, looked := false, 0
	for fingerprint, s := range g.known {
		s.expire(now)
		last = fingerprint
		if len(s.runs) == 0 && len(s.deaths) == 0 && !now.Before(s.cleared) {
			delete(g.known, fingerprint)
			full = false
		} else if len(s.deaths) == 0 {
			idle, found = fingerprint, true
		}
		if looked++; looked >= forgetStep && (found || !full) {
			break
		}
	}
	if full && found {
		delete(g.known, idle)
	} else if full {
		delete(g.known, last)
	}
}

// expire drops runs and deaths whose time is over.
func (s *suspicion) expire(now time.Time) {
	s.runs = slices.DeleteFunc(s.runs, func(r Run) bool { return now.After(r.Until) })
	if len(s.deaths) == 0 {
		return
	}
	kept := SuspectTime
	if len(s.deaths) >= MaxDeaths {
		kept = QuarantineTime
	}
	if now.Sub(s.deaths[len(s.deaths)-1].At) >= kept {
		s.deaths = nil
	}
}

func (s *suspicion) quarantined(now time.Time) (time.Time, bool) {
	if len(s.deaths) < MaxDeaths {
		return time.Time{}, false
	}
	until := s.deaths[len(s.deaths)-1].At.Add(QuarantineTime)
	return until, now.Before(until)
}

func (s *suspicion) has(id string) bool {
	return slices.ContainsFunc(s.runs, func(r Run) bool { return r.ID == id })
}

func (s *suspicion) runsAt(endpoint string) bool {
	return slices.ContainsFunc(s.runs, func(r Run) bool { return r.Endpoint == endpoint })
}
