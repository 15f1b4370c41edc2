package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

const (
	// paceTime is how long what an endpoint told of its pace holds.
	paceTime = 3 * time.Second
	// askTime is the least time between two questions for an endpoint's pace,
	// by whichever host.
	askTime = 2500 * time.Millisecond
	// slowGaps is how many gaps in a row must be slowFactor times longer than
	// usual before an endpoint is asked: what it reads makes single ones long.
	slowGaps   = 4
	slowFactor = 2.5
)

// pace is how many times longer than usual an endpoint's work takes, as it told
// this host or a peer.
type pace struct {
	factor float64
	at     time.Time
	// asked is when a host last asked.
	asked time.Time
	// mine is when the endpoint last told this host.
	mine time.Time
	// slow counts the long gaps in a row.
	slow int
}

// tellTime is how long a host tells its peers what an endpoint has told it.
const tellTime = 500 * time.Millisecond

// own reports whether the endpoint has told this host lately.
func (p *pace) own(now time.Time) bool { return !p.mine.IsZero() && now.Sub(p.mine) < tellTime }

// tell takes what the endpoint says, if it is newer.
func (p *pace) tell(factor float64, at time.Time) {
	if factor > 0 && at.After(p.at) {
		p.factor, p.at = factor, at
	}
	if at.After(p.asked) {
		p.asked = at
	}
}

// now returns the pace, 1 for an endpoint of which nothing was told lately.
func (p *pace) now(now time.Time) float64 {
	if now.Sub(p.at) > paceTime {
		return 1
	}
	return max(p.factor, 1)
}

// AskPace reports whether an endpoint should be asked for its pace now, and
// counts it as asked.
func (f *Fleet) AskPace(life lavconfig.Incarnation) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	if s == nil || now.Sub(s.pace.asked) < askTime {
		return false
	}
	s.pace.asked = now
	return true
}

// TellPace takes the pace that an endpoint tells of itself.
func (f *Fleet) TellPace(life lavconfig.Incarnation, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil {
		now := time.Now()
		s.pace.tell(factor, now)
		s.pace.mine = now
	}
}

// Event takes the gap between two events of the run's stream and reports whether
// the endpoint seems to be slow.
func (r *Run) Event(gap time.Duration) bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s := r.fleet.endpoints[r.parts[0].Life]
	if s == nil {
		return false
	}
	svc := r.fleet.services[s.Service]
	if svc == nil || svc.Engine == nil {
		return false
	}
	usual := lavplan.PassTime(svc.Engine, s.own.Plus(s.peers))
	if float64(gap) < slowFactor*float64(usual) {
		s.pace.slow = 0
		return false
	}
	s.pace.slow++
	return s.pace.slow >= slowGaps
}
